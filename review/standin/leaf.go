package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is one part that reached a leaf.
type attempt struct {
	leaf      string
	id        string // REQUEST.SHARD
	request   string
	shard     int
	d         int       // ms, as the list of the part says
	firstByte time.Time // of its frame
	lastByte  time.Time
	answered  time.Time // zero while it is out
	cancelled bool      // a frame X named it while it was out
	conn      *leafConn
}

// leafConn is one connection of an aggregator to a leaf.
type leafConn struct {
	net.Conn
	mu     sync.Mutex
	number int
}

func (c *leafConn) writeFrame(letter byte, body []byte) error {
	frame := make([]byte, 4, 5+len(body))
	binary.BigEndian.PutUint32(frame, uint32(1+len(body)))
	frame = append(append(frame, letter), body...)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Write(frame)
	return err
}

// leaf is a stand-in for a leaf. behave decides about each attempt, in a goroutine of its own; nil serves it.
type leaf struct {
	id      string
	cell    int
	addr    string
	rec     *record
	behave  func(a *attempt)
	ln      net.Listener
	mu      sync.Mutex
	got     []*attempt
	conns   []*leafConn
	accepts int
}

func startLeaf(rec *record, id string, cell int) (*leaf, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &leaf{id: id, cell: cell, addr: ln.Addr().String(), rec: rec, ln: ln}
	go l.accept(ln)
	return l, nil
}

func (l *leaf) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.accepts++
		c := &leafConn{Conn: conn, number: l.accepts}
		l.conns = append(l.conns, c)
		l.mu.Unlock()
		l.rec.line("leaf %s: connection %d from %s", l.id, c.number, conn.RemoteAddr())
		go l.read(c)
	}
}

func (l *leaf) read(c *leafConn) {
	in := bufio.NewReaderSize(c, 64<<10)
	defer c.Close()
	for {
		if _, err := in.Peek(1); err != nil {
			l.rec.line("leaf %s: connection %d ended: %v", l.id, c.number, err)
			return
		}
		first := time.Now()
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(in, body); err != nil || len(body) == 0 {
			l.rec.line("leaf %s: connection %d ended within a frame: %v", l.id, c.number, err)
			return
		}
		last := time.Now()
		switch body[0] {
		case 'Q':
			l.query(c, body[1:], first, last)
		case 'X':
			l.cancel(string(body[1:]), last)
		case 'P':
			_ = c.writeFrame('P', []byte("ok"))
		case 'L':
			_ = c.writeFrame('L', []byte("-"))
		default:
			l.rec.line("leaf %s: unknown frame %q", l.id, body[0])
			_ = c.writeFrame('E', []byte("unknown frame"))
			return
		}
	}
}

func (l *leaf) query(c *leafConn, text []byte, first, last time.Time) {
	for len(text) > 0 {
		line, rest, ok := bytes.Cut(text, []byte{'\n'})
		fields := strings.Fields(string(line))
		if !ok || len(fields) != 4 {
			l.rec.line("leaf %s: cannot read %q", l.id, line)
			return
		}
		shard, _ := strconv.Atoi(fields[1])
		length, _ := strconv.Atoi(fields[3])
		if length > len(rest) {
			l.rec.line("leaf %s: length %d beyond the frame", l.id, length)
			return
		}
		text = rest[length:]
		a := &attempt{leaf: l.id, id: fields[0], shard: shard, firstByte: first, lastByte: last, conn: c}
		a.request = strings.TrimSuffix(a.id, "."+fields[1])
		for _, entry := range strings.Split(fields[2], ",") {
			if ms, found := strings.CutPrefix(entry, "d="); found {
				a.d, _ = strconv.Atoi(ms)
			}
		}
		l.mu.Lock()
		l.got = append(l.got, a)
		behave := l.behave
		l.mu.Unlock()
		l.rec.lineAt(last, "leaf %s: run %s shard %d d=%d on connection %d", l.id, a.id, a.shard, a.d, c.number)
		if behave == nil {
			behave = func(a *attempt) { l.serveAfter(a, 20*time.Millisecond) }
		}
		go behave(a)
	}
}

func (l *leaf) cancel(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rec.lineAt(at, "leaf %s: given up %s", l.id, id)
	for _, a := range l.got {
		if a.id == id && a.answered.IsZero() {
			a.cancelled = true
		}
	}
}

// valueOf is the value that a leaf makes for a part. It follows from the part alone.
func valueOf(id string) string {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return fmt.Sprintf("%016x", hash.Sum64())
}

// serveAfter answers an attempt with its value after some work.
func (l *leaf) serveAfter(a *attempt, work time.Duration) {
	time.Sleep(work)
	l.answer(a, "ok", valueOf(a.id))
}

// answer sends the answer to an attempt.
func (l *leaf) answer(a *attempt, end, value string) {
	l.mu.Lock()
	a.answered = time.Now()
	l.mu.Unlock()
	err := a.conn.writeFrame('A', []byte(fmt.Sprintf("%s %s 1840277719 -\n%s", a.id, end, value)))
	l.rec.line("leaf %s: answered %s %s %s (error %v)", l.id, a.id, end, value, err)
}

// attempts returns what has reached the leaf so far.
func (l *leaf) attempts() []*attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*attempt(nil), l.got...)
}
