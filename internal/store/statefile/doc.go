// Package statefile stores small state that the processes of one broker share in files of one directory.
//
// [Write] replaces a file as a whole, so that a reader sees either the old content or the new one. A change that
// depends on the content is made under a lock ([Lock]), as two processes that read, decide and write at once would
// undo each other's change. A reader polls for changes by [Fingerprint], without reading the file.
//
//	lock, err := statefile.Lock(path)
//	if err != nil {
//		return err
//	}
//	defer lock.Close()
//	// read the file, decide, then:
//	return statefile.Write(path, content)
//
// Locks are advisory and belong to an open file: the kernel releases them when a process ends, even if it crashes.
package statefile
