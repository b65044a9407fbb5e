package route_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/route"
)

func table(routes ...route.Route) *route.Table {
	return route.NewTable(route.State{Version: 1, Routes: routes})
}

func to(name, host, prefix string) route.Route {
	return route.Route{Name: name, Host: host, Prefix: prefix, Shares: []route.Share{{Pool: "p", Weight: 1}}}
}

func TestMatch(t *testing.T) {
	routes := table(
		to("short", "a.example", "/x/"),
		to("long", "a.example", "/x/y/"),
		to("other", "b.example", "/x/"),
	)
	tests := []struct {
		host, path, want string
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/yz", "short"},
		{"A.Example:8080", "/x/1", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"c.example", "/x/1", ""},
		{"", "/x/1", ""},
	}
	for _, test := range tests {
		got := ""
		if r := routes.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, test.want, "%s%s", test.host, test.path)
	}
	assert.Assert(t, (&route.Table{}).Match("a.example", "/x/") == nil)
}

// Guards against accounts whose routes' priorities have no effect: the most
// urgent requests of an account with its own priority would wait behind its
// least urgent ones.
func TestAccountsPriorityGoesBeforeTheRoutes(t *testing.T) {
	urgent, plain := to("urgent", "a.example", "/u/"), to("plain", "a.example", "/p/")
	plain.Priority = -2
	routes := table(urgent, plain)
	high, low := coordination.Priority(0), coordination.Priority(-1)
	order := []coordination.Priority{
		routes.Priority(&urgent, &high),
		routes.Priority(&plain, &high),
		routes.Priority(&urgent, &low),
		routes.Priority(&plain, &low),
	}
	for i := range len(order) - 1 {
		assert.Assert(t, order[i] > order[i+1], "%v", order)
	}
	assert.Assert(t, routes.Priority(&urgent, nil) > routes.Priority(&plain, nil))
}

func TestSplitFollowsWeights(t *testing.T) {
	r := route.Route{Shares: []route.Share{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	got := map[coordination.Pool]int{}
	for h := range uint64(1000) {
		got[r.Pool(h)]++
	}
	assert.Equal(t, got["a"], 900)
	assert.Equal(t, got["b"], 100)
}

// Guards against requests to a pool that an operator drains by setting its
// weight to zero; its endpoints may be about to be removed.
func TestShareOfZeroGetsNothing(t *testing.T) {
	r := route.Route{Shares: []route.Share{{Pool: "a", Weight: 0}, {Pool: "b", Weight: 5}}}
	for h := range uint64(100) {
		assert.Equal(t, r.Pool(h), coordination.Pool("b"))
	}
	none := route.Route{Shares: []route.Share{{Pool: "a"}, {Pool: "b"}}}
	assert.Equal(t, none.Pool(7), coordination.Pool("a"))
}

func TestIdempotent(t *testing.T) {
	tests := []struct {
		route route.Route
		want  bool
	}{
		{route.Route{}, false},
		{route.Route{Kind: route.Unsafe, Resumable: true}, false},
		{route.Route{Kind: route.Safe}, true},
		{route.Route{Kind: route.Stream}, false},
		{route.Route{Kind: route.Stream, Resumable: true}, true},
	}
	for _, test := range tests {
		assert.Equal(t, test.route.Idempotent(), test.want, "%s %v", test.route.Kind, test.route.Resumable)
	}
}

func ExampleTable_Match() {
	t := route.NewTable(route.State{Routes: []route.Route{
		{Name: "orders", Host: "desk.example", Prefix: "/orders/"},
		{Name: "drafts", Host: "desk.example", Prefix: "/orders/drafts/"},
	}})
	fmt.Println(t.Match("desk.example", "/orders/drafts/7").Name)
	// Output: drafts
}
