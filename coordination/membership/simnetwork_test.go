package membership

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

// simNetwork passes messages between machines in simulated time. All randomness
// comes from its seed, so that runs are reproducible.
type simNetwork struct {
	rand    *rand.Rand
	now     time.Time
	begin   time.Time
	queue   eventQueue
	serial  uint64
	nodes   []*node
	byID    map[coordination.Instance]*node
	byAddr  map[string]*node
	loss    float64
	delay   func(a, b *node) time.Duration
	cut     func(a, b *node) bool // whether messages from a to b are lost
	tamper  func(n *node, from coordination.Instance, msg *Message)
	checker *checker
	bytes   int
	cpu     time.Duration // time spent in machines
	size    func(*Message) int
}

// node is a router in a simNetwork.
type node struct {
	sim     *simNetwork
	machine *Machine
	cfg     Config
	self    Member
	running bool
	paused  bool
	pauses  int
	held    []func() // deliveries deferred by a pause
	links   map[coordination.Instance]bool
	bytes   int
	sent    int
}

type event struct {
	at     time.Time
	serial uint64
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func newSimNetwork(seed uint64) *simNetwork {
	begin := time.Unix(1_800_000_000, 0)
	return &simNetwork{
		rand:   rand.New(rand.NewPCG(seed, 1)),
		now:    begin,
		begin:  begin,
		byID:   make(map[coordination.Instance]*node),
		byAddr: make(map[string]*node),
		delay:  func(_, _ *node) time.Duration { return 3 * time.Millisecond },
		cut:    func(_, _ *node) bool { return false },
		size:   (*Message).Size,
	}
}

func (sim *simNetwork) after(d time.Duration, do func()) {
	sim.serial++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), serial: sim.serial, do: do})
}

// run advances the simulated time by d.
func (sim *simNetwork) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

// runUntil advances the simulated time until ok returns true, and returns the time
// that passed. It fails the test if that exceeds most.
func (sim *simNetwork) runUntil(t testing.TB, most time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	start := sim.now
	for !ok() {
		if sim.now.Sub(start) > most {
			t.Fatalf("no %s within %v", what, most)
		}
		sim.run(50 * time.Millisecond)
	}
	return sim.now.Sub(start)
}

// add adds a node without starting it.
func (sim *simNetwork) add(id string, region Region, zone coordination.Zone, cfg Config) *node {
	cfg.Seed = sim.rand.Uint64()
	n := &node{sim: sim, cfg: cfg, self: Member{
		Instance: coordination.Instance(id),
		Address:  "10.0.0.1:" + id,
		Region:   region,
		Zone:     zone,
		Build:    "v1.0.0",
		Protocol: 1,
		Owner:    true,
	}}
	sim.nodes = append(sim.nodes, n)
	sim.byID[n.self.Instance] = n
	sim.byAddr[n.self.Address] = n
	return n
}

// addNodes adds count nodes, spread evenly over the zones of all regions. The first
// three are the seeds.
func (sim *simNetwork) addNodes(count, regions, zones int, cfg Config) {
	for i := range min(3, count) {
		cfg.Seeds = append(cfg.Seeds, "10.0.0.1:"+name(i))
	}
	for i := range count {
		z := i % (regions * zones)
		sim.add(name(i), Region(fmt.Sprint("region-", z%regions)), coordination.Zone(fmt.Sprint("zone-", z)), cfg)
	}
}

func name(i int) string {
	return fmt.Sprintf("router-%03d", i)
}

// start starts n with a new incarnation.
func (n *node) start() {
	n.startAs(coordination.Incarnation(n.sim.now.UnixMilli()))
}

func (n *node) startAs(incarnation coordination.Incarnation) {
	n.self.Incarnation = incarnation
	n.machine = New(n.cfg, n.self, n.sim.now)
	n.links = make(map[coordination.Instance]bool)
	n.running, n.paused, n.held = true, false, nil
	n.loop(n.machine, time.Duration(n.sim.rand.Int64N(int64(100*time.Millisecond))))
}

func (n *node) loop(machine *Machine, wait time.Duration) {
	n.sim.after(wait, func() {
		if !n.running || n.machine != machine {
			return
		}
		if !n.paused {
			began := time.Now()
			out := machine.Tick(n.sim.now)
			n.sim.cpu += time.Since(began)
			n.do(out)
		}
		n.loop(machine, 100*time.Millisecond)
	})
}

// kill stops n and closes its connections at once.
func (n *node) kill() {
	n.running = false
	n.unlinkAll()
}

// pause freezes n. After ten seconds its peers close their connections to it.
func (n *node) pause() {
	n.paused = true
	n.pauses++
	this := n.pauses
	n.sim.after(10*time.Second, func() {
		if n.paused && n.pauses == this {
			n.unlinkAll()
		}
	})
}

func (n *node) unlinkAll() {
	for _, id := range slices.Sorted(maps.Keys(n.links)) {
		n.sim.unlink(n, n.sim.byID[id])
	}
}

func (n *node) resume() {
	n.paused = false
	n.do(n.machine.Tick(n.sim.now))
	held := n.held
	n.held = nil
	for _, do := range held {
		do()
	}
}

// deliver runs do now, or when n resumes if it is paused.
func (n *node) deliver(machine *Machine, do func()) {
	switch {
	case !n.running || n.machine != machine:
	case n.paused:
		n.held = append(n.held, do)
	default:
		do()
	}
}

// do carries out the actions that n's machine requested.
func (n *node) do(out Output) {
	n.sim.checker.observe(n)
	for _, s := range out.Sends {
		n.send(s)
	}
	for _, d := range out.Dials {
		n.dial(d)
	}
}

func (n *node) send(s Send) {
	sim := n.sim
	to := sim.byID[s.To]
	size := sim.size(&s.Message)
	n.bytes += size
	n.sent++
	sim.bytes += size
	if to == nil || !to.running || sim.cut(n, to) || sim.rand.Float64() < sim.loss {
		return
	}
	wait := sim.delay(n, to)
	if !n.links[s.To] {
		// Only probes open a connection.
		if s.Message.Probe == nil || sim.cut(to, n) {
			return
		}
		wait += 2 * sim.delay(to, n)
	}
	machine, msg := to.machine, s.Message
	sim.after(wait, func() {
		to.deliver(machine, func() {
			if sim.tamper != nil {
				sim.tamper(to, n.self.Instance, &msg)
			}
			began := time.Now()
			out := machine.Receive(sim.now, n.self.Instance, msg)
			sim.cpu += time.Since(began)
			to.do(out)
		})
	})
}

func (n *node) dial(d Dial) {
	sim := n.sim
	to := sim.byAddr[d.Address]
	machine := n.machine
	if to == nil || !to.running || to.paused || sim.cut(n, to) || sim.cut(to, n) {
		sim.after(time.Second, func() {
			n.deliver(machine, func() { n.machine.DialFailed(sim.now, d.Address) })
		})
		return
	}
	sim.after(2*sim.delay(n, to), func() {
		if n.running && n.machine == machine && to.running && !n.links[to.self.Instance] {
			sim.link(n, to)
		}
	})
}

func (sim *simNetwork) link(a, b *node) {
	a.links[b.self.Instance] = true
	b.links[a.self.Instance] = true
	a.deliver(a.machine, func() { a.machine.LinkUp(sim.now, b.machine.Self(), true, true) })
	b.deliver(b.machine, func() { b.machine.LinkUp(sim.now, a.machine.Self(), true, false) })
}

func (sim *simNetwork) unlink(a, b *node) {
	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		n, id := pair[0], pair[1].self.Instance
		if !n.links[id] {
			continue
		}
		delete(n.links, id)
		n.deliver(n.machine, func() { n.machine.LinkDown(sim.now, id) })
	}
}

// partition cuts all paths between the two sides. Their connections break after ten
// seconds.
func (sim *simNetwork) partition(side func(*node) bool) {
	sim.cut = func(a, b *node) bool { return side(a) != side(b) }
	sim.after(10*time.Second, func() {
		for _, a := range sim.nodes {
			for _, id := range slices.Sorted(maps.Keys(a.links)) {
				if b := sim.byID[id]; sim.cut(a, b) {
					sim.unlink(a, b)
				}
			}
		}
	})
}

func (sim *simNetwork) heal() {
	sim.cut = func(_, _ *node) bool { return false }
}

// agreed reports whether each running node lists exactly the running nodes.
func (sim *simNetwork) agreed() bool {
	return sim.agreedAmong(func(*node) bool { return true })
}

func (sim *simNetwork) agreedAmong(in func(*node) bool) bool {
	running := 0
	for _, n := range sim.nodes {
		if n.running && in(n) {
			running++
		}
	}
	for _, n := range sim.nodes {
		if !n.running || !in(n) {
			continue
		}
		members := n.machine.Members()
		if len(members) != running {
			return false
		}
		for _, m := range members {
			other := sim.byID[m.Instance]
			if !other.running || !in(other) || m.State == Suspect || m.Incarnation != other.machine.Self().Incarnation {
				return false
			}
		}
	}
	return true
}

// startAll starts all nodes within two seconds, waits until they agree, and returns
// the time from the end of the two seconds to agreement.
func (sim *simNetwork) startAll(t testing.TB) time.Duration {
	t.Helper()
	for _, n := range sim.nodes {
		sim.after(time.Duration(sim.rand.Int64N(int64(2*time.Second))), n.start)
	}
	sim.run(2 * time.Second)
	return sim.runUntil(t, time.Minute, "agreement after the start", sim.agreed)
}

// startWithFullTables starts all nodes without seeds, with each listing all others.
func (sim *simNetwork) startWithFullTables() {
	for _, n := range sim.nodes {
		n.cfg.Seeds = nil
		n.start()
	}
	for _, n := range sim.nodes {
		for _, other := range sim.nodes {
			n.machine.apply("", other.self)
		}
	}
}

func (sim *simNetwork) deaths() uint64 {
	var sum uint64
	for _, n := range sim.nodes {
		if n.machine != nil {
			sum += n.machine.Stats().Deaths
		}
	}
	return sum
}

// checker verifies the state of each node after each of its actions.
type checker struct {
	ended      map[[2]coordination.Instance]coordination.Incarnation // by observer and member
	versions   map[coordination.Instance]map[rumorKey]uint64
	violations []string
	// mayLose, if set, reports whether observer may consider member dead.
	mayLose func(observer, member *node) bool
	seen    map[[2]coordination.Instance]bool
}

func newChecker() *checker {
	return &checker{
		ended:    make(map[[2]coordination.Instance]coordination.Incarnation),
		versions: make(map[coordination.Instance]map[rumorKey]uint64),
		seen:     make(map[[2]coordination.Instance]bool),
	}
}

// observe checks that no incarnation becomes live again after its end, that no
// rumor's version decreases, that no member is lost that must not be, and that the
// cached member list matches the table.
func (c *checker) observe(n *node) {
	if c == nil {
		return
	}
	if n.machine.Changed() {
		c.observeMembers(n)
	}
	c.observeList(n)
	c.observeRumors(n)
}

// observeList checks that the cached member list of a node matches its table.
func (c *checker) observeList(n *node) {
	if len(n.sim.nodes) > 60 {
		return // small fleets cover all kinds of changes
	}
	if !n.machine.memberListMatchesTable() {
		c.violate("%s returns an outdated member list", n.self.Instance)
	}
}

// memberListMatchesTable reports whether Members returns what liveMembers would. It
// neither copies nor sorts the table, since it runs after every action of a node.
func (m *Machine) memberListMatchesTable() bool {
	live := 1 // m itself
	for _, e := range m.table {
		if e.Live() {
			live++
		}
	}
	list := m.Members()
	if len(list) != live {
		return false
	}
	for i, listed := range list {
		known, ok := m.Lookup(listed.Instance)
		own := listed.Instance == m.self.Instance
		if !ok || known != listed || !own && !known.Live() {
			return false
		}
		if i > 0 && compare(list[i-1].Instance, listed.Instance) >= 0 {
			return false
		}
	}
	return true
}

func (c *checker) observeMembers(n *node) {
	for id, e := range n.machine.table {
		pair := [2]coordination.Instance{n.self.Instance, id}
		if e.State.Final() {
			c.ended[pair] = max(c.ended[pair], e.Incarnation)
			c.checkLoss(n, id, pair)
			continue
		}
		c.seen[pair] = true
		if end, ok := c.ended[pair]; ok && e.Incarnation <= end {
			c.violate("%s lists %s as %v after the end of incarnation %d", n.self.Instance, id, e.State, e.Incarnation)
		}
	}
}

func (c *checker) checkLoss(n *node, id coordination.Instance, pair [2]coordination.Instance) {
	if !c.seen[pair] || c.mayLose == nil {
		return
	}
	delete(c.seen, pair)
	if !c.mayLose(n, n.sim.byID[id]) {
		c.violate("%s lost member %s after %v", n.self.Instance, id, n.sim.now.Sub(n.sim.begin))
	}
}

func (c *checker) observeRumors(n *node) {
	seen := c.versions[n.self.Instance]
	if seen == nil {
		seen = make(map[rumorKey]uint64)
		c.versions[n.self.Instance] = seen
	}
	for _, r := range n.machine.DrainNewRumors() {
		k := rumorKey{r.Topic, r.Key}
		if r.Version < seen[k] {
			c.violate("%s reverted to version %d of rumor %v", n.self.Instance, r.Version, k)
		}
		seen[k] = r.Version
	}
}

func (c *checker) violate(format string, args ...any) {
	if len(c.violations) < 5 {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

func (c *checker) check(t testing.TB) {
	t.Helper()
	assert.Equal(t, len(c.violations), 0, "%v", c.violations)
}

// forgetObserver discards what the checker recorded for a node that has restarted
// with an empty table.
func (c *checker) forgetObserver(n *node) {
	delete(c.versions, n.self.Instance)
	for pair := range c.ended {
		if pair[0] == n.self.Instance {
			delete(c.ended, pair)
		}
	}
	for pair := range c.seen {
		if pair[0] == n.self.Instance {
			delete(c.seen, pair)
		}
	}
}
