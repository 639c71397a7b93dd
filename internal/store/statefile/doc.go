// Package statefile stores small state that the processes of one broker share in files of one directory.
//
// A file is replaced as a whole ([Write]), so that a reader sees the old content or the new one and never a part of
// either. A change that depends on the content is made under a lock ([Lock]), as two processes that read, decide and
// write at once would undo each other's change. A reader polls for changes by [Fingerprint], without reading the
// file.
//
//	lock, err := statefile.Lock(path)
//	if err != nil {
//		return err
//	}
//	defer lock.Close()
//	// read the file, decide, then:
//	return statefile.Write(path, content)
//
// Locks are advisory and belong to an open file: the kernel releases them when a process ends, however it ends.
package statefile
