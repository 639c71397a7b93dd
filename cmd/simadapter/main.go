package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"ternstage/internal/transport/simwire"
)

// bufferBytes is the size of the buffers of the input and the output.
const bufferBytes = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends. It returns an error for a malformed batch.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferBytes)
	writer := bufio.NewWriterSize(out, bufferBytes)
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
		if err := h.processBatch(batch); err != nil {
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
