package statefile

import (
	"io/fs"
	"os"
	"syscall"
)

// Fingerprint distinguishes one content of a file from another by the file's inode, size and modification time. It is
// comparable. The zero value is no file's.
//
// Files must be replaced by [Write]: a file has another inode than the one that it replaces, and so differs from it
// even if it has the same size and was written within the resolution of the file system's clock.
type Fingerprint struct {
	inode   uint64
	size    int64
	mtimeNs int64
}

// Stat returns the fingerprint of the file at path. The error is that of os.Stat, fs.ErrNotExist without a file.
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
