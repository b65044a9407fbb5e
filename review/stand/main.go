// Command stand plays one case of the review: it starts a store, servers, routers and
// clients on loopback addresses, causes the disruption unless TROUBLE is 0, and judges
// by what the clients and servers have seen.
//
//	stand CASE DIR
//
// DIR gets record.txt. Exit status: 0 the rule held, 1 it was broken, 2 the case could
// not run.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(*fleet) (bool, error){
	"lost-at-stop":    lostAtStop,
	"key-passed-on":   keyPassedOn,
	"large-bodies":    largeBodies,
	"cut-with-notice": cutWithNotice,
	"stray-refusal":   strayRefusal,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "replica" {
		fmt.Fprintln(os.Stderr, replica(os.Args[2], os.Args[3]))
		os.Exit(2)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE DIR")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, dir string) int {
	f, err := newFleet(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	defer f.close()
	f.note("case %s, trouble %v", name, f.trouble)
	broken, err := cases[name](f)
	switch {
	case err != nil:
		f.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	case broken:
		f.note("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	f.note("verdict: the rule held")
	fmt.Println("the rule held")
	return 0
}
