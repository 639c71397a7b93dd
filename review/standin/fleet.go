package main

import (
	"fmt"
	"time"
)

// slack is what the protocol page adds to every time limit on sockets.
const slack = 50 * time.Millisecond

// startLeafs starts one leaf a cell and returns the entries of the list for them.
func startLeafs(rec *record, count int) ([]*leaf, []member, error) {
	var leafs []*leaf
	var members []member
	for cell := range count {
		l, err := startLeaf(rec, fmt.Sprintf("s-%08x", 0x5be2a000+cell), cell)
		if err != nil {
			return nil, nil, err
		}
		leafs = append(leafs, l)
		members = append(members, member{ID: l.id, Address: l.addr, Locality: "salt-lake", Flavor: "small-2c", Cell: cell,
			Phase: "SERVING", Size: 1})
	}
	return leafs, members, nil
}
