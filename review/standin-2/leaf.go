package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one part that reached a leaf.
type attempt struct {
	leaf   string
	id     string // of the part
	shard  int
	d      int // ms that the broker waits
	text   string
	at     time.Time // when its last byte arrived
	endsAt time.Time
	end    string
}

// request returns the id of the request of the part.
func (a attempt) request() string { return a.id[:strings.LastIndexByte(a.id, '.')] }

// leaf is a backend. It answers each part after its work, and drops nothing.
type leaf struct {
	w        *world
	member   member
	listener net.Listener
	workMs   atomic.Int64 // time that a part takes
	silent   atomic.Bool  // takes parts and answers none
	failing  atomic.Bool  // answers err at once
}

// fleet is all leafs and what has reached them.
type fleet struct {
	w     *world
	leafs []*leaf

	mu       sync.Mutex
	attempts []attempt
}

// newFleet starts one leaf for each cell.
func (w *world) newFleet(workMs int) *fleet {
	f := &fleet{w: w}
	for cell := range sets {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		check(err)
		l := &leaf{w: w, listener: listener, member: member{ID: fmt.Sprintf("s-%02d", cell),
			Address: listener.Addr().String(), Zone: "here", Kind: "small", Cell: cell, Phase: "SERVING", Size: 1}}
		l.workMs.Store(int64(workMs))
		f.leafs = append(f.leafs, l)
		go f.accept(l)
	}
	return f
}

func (f *fleet) members() []member {
	var members []member
	for _, l := range f.leafs {
		members = append(members, l.member)
	}
	return members
}

func (f *fleet) accept(l *leaf) {
	for {
		connection, err := l.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(l, connection)
	}
}

// holds reports whether a leaf of a cell holds a shard.
func holds(cell, shard int) bool {
	for j := range width {
		if (shard+j)%sets == cell {
			return true
		}
	}
	return false
}

// value is what a leaf answers to a part.
func value(shard int, text string) string {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%d %s", shard, text)
	return fmt.Sprintf("%016x", hash.Sum64())
}

// serve reads the frames of one connection.
func (f *fleet) serve(l *leaf, connection net.Conn) {
	defer func() { _ = connection.Close() }()
	in := bufio.NewReader(connection)
	var writing sync.Mutex
	for {
		var header [4]byte
		if _, err := io.ReadFull(in, header[:]); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(header[:]))
		if _, err := io.ReadFull(in, body); err != nil || len(body) == 0 {
			return
		}
		switch body[0] {
		case 'Q':
			for rest := string(body[1:]); rest != ""; {
				line, after, _ := strings.Cut(rest, "\n")
				words := strings.Split(line, " ")
				if len(words) != 4 {
					l.w.note("leaf %s: unusable line %q", l.member.ID, line)
					return
				}
				shard, _ := strconv.Atoi(words[1])
				size, _ := strconv.Atoi(words[3])
				d := 0
				for _, item := range strings.Split(words[2], ",") {
					if number, ok := strings.CutPrefix(item, "d="); ok {
						d, _ = strconv.Atoi(number)
					}
				}
				if !holds(l.member.Cell, shard) || size > len(after) {
					l.w.breaks("leaf %s was sent shard %d", l.member.ID, shard)
				}
				a := attempt{leaf: l.member.ID, id: words[0], shard: shard, d: d, text: after[:size], at: time.Now()}
				rest = after[size:]
				f.mu.Lock()
				f.attempts = append(f.attempts, a)
				f.mu.Unlock()
				l.w.note("leaf %s got %s d=%d", a.leaf, a.id, a.d)
				go f.work(l, connection, &writing, a)
			}
		case 'X':
			l.w.note("leaf %s: given up %s", l.member.ID, body[1:])
		}
	}
}

// work answers one part.
func (f *fleet) work(l *leaf, connection net.Conn, writing *sync.Mutex, a attempt) {
	if l.silent.Load() {
		return
	}
	end := "ok"
	if l.failing.Load() {
		end = "err"
	} else {
		time.Sleep(time.Duration(l.workMs.Load()) * time.Millisecond)
	}
	answer := fmt.Sprintf("A%s %s 1 -\n", a.id, end)
	if end == "ok" {
		answer += value(a.shard, a.text)
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(answer)))
	frame = append(frame, answer...)
	writing.Lock()
	defer writing.Unlock()
	_, _ = connection.Write(frame)
	l.w.note("leaf %s answered %s %s", a.leaf, a.id, end)
}

// all returns a copy of the attempts so far.
func (f *fleet) all() []attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]attempt{}, f.attempts...)
}
