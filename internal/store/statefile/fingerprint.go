package statefile

import (
	"io/fs"
	"os"
	"syscall"
)

// Fingerprint identifies one content of a file by the file's inode, size and modification time. Fingerprints are
// compared with ==. No file has the zero value.
//
// Files must be replaced by [Write], which gives the new file another inode: its fingerprint thus differs even if it
// has the same size and was written within the resolution of the file system's clock.
type Fingerprint struct {
	inode   uint64
	size    int64
	mtimeNs int64
}

// Stat returns the fingerprint of the file at path. Errors are those of os.Stat: without a file, fs.ErrNotExist.
func Stat(path string) (Fingerprint, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Fingerprint{}, err
	}
	return fingerprintOf(info), nil
}

// Size returns the file's size in bytes.
func (f Fingerprint) Size() int64 { return f.size }

func fingerprintOf(info fs.FileInfo) Fingerprint {
	f := Fingerprint{size: info.Size(), mtimeNs: info.ModTime().UnixNano()}
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		f.inode = stat.Ino
	}
	return f
}
