package linker

import (
	"testing"

	"foxtaillug.org/scheduler/detector"
)

// TestCompleteDomain guards against a coordinator that uses the rate of cold upstreams of a
// host which may coordinate behind a partition.
func TestCompleteDomain(t *testing.T) {
	host := func(id, domain string, status detector.Status) detector.Member {
		return detector.Member{ID: id, Address: id, Domain: domain, Status: status}
	}
	left := host("h2", "d", detector.Dead)
	left.Leaving = true
	all := []detector.Member{host("h2", "d", detector.Alive), host("h3", "d", detector.Alive), host("x", "e", detector.Alive)}
	tests := map[string]struct {
		seeds []string
		views [][]detector.Member
		want  bool
	}{
		"the only host":                   {views: [][]detector.Member{nil}, want: true},
		"all alive":                       {seeds: []string{"h1", "h2"}, views: [][]detector.Member{all}, want: true},
		"a seed was never seen":           {seeds: []string{"h4"}, views: [][]detector.Member{all}},
		"one is suspected":                {views: [][]detector.Member{{host("h2", "d", detector.Suspect)}}},
		"one is dead":                     {views: [][]detector.Member{all, {host("h2", "d", detector.Dead), all[1]}}},
		"a dead one was removed":          {views: [][]detector.Member{all, {all[1], all[2]}}},
		"one is back":                     {views: [][]detector.Member{all, {all[1], all[2]}, all}, want: true},
		"one has left":                    {views: [][]detector.Member{all, {left, all[1]}, {all[1]}}, want: true},
		"one of another domain is dead":   {views: [][]detector.Member{all, {all[0], all[1], host("x", "e", detector.Dead)}}, want: true},
		"a seed elsewhere is dead by now": {seeds: []string{"x"}, views: [][]detector.Member{all, all[:2]}, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var h homeHosts
			got := false
			for _, members := range tt.views {
				got = h.complete(Settings{Domain: "d", Address: "h1", Seeds: tt.seeds}, members)
			}
			if got != tt.want {
				t.Errorf("complete: %v, want %v", got, tt.want)
			}
		})
	}
}
