package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"ternstage/internal/transport/simwire"
)

// bufferSize is the size in bytes of the buffers of the input and the output.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. A malformed batch ends it with an error.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	h := newHost()
	for {
		batch, err := simwire.ReadBatch(reader)
		if batch == nil && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Reset(batch.Number)
		if err := h.play(batch); err != nil {
			return err
		}
		if _, err := h.reply.WriteTo(writer); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}
