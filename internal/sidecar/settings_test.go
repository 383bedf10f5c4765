package sidecar

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cranehatch/internal/settings"
	"cranehatch/policy"
)

// deployment is what a sidecar must do under the settings of one file.
type deployment struct {
	file     string
	tenant   string           // one of it alone
	other    string           // a class or tenant of the other one alone
	attempts map[string]int   // by class: how often a request that fails is sent
	aims     map[string]int64 // by class: milliseconds that a server may take over it
	grace    time.Duration
	tries    int
}

var deployments = []deployment{
	{
		file: "piste.json", tenant: "low", other: "lock", tries: 3, grace: time.Second,
		attempts: map[string]int{"view": 3, "update": 3, "order": 1},
		aims:     map[string]int64{"view": 10000, "update": 20000, "order": 30000},
	},
	{
		file: "desk.json", tenant: "dispatch", other: "update", tries: 2, grace: 400 * time.Millisecond,
		attempts: map[string]int{"lock": 1, "view": 1, "log": 2, "plan": 2},
		aims:     map[string]int64{"lock": 15000, "view": 12000, "log": 11000, "plan": 13000},
	},
}

// under replaces the settings of a test by those of a file.
func under(t *testing.T, file string) func(file, settings map[string]any) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "settings", "testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	return func(_, settings map[string]any) {
		clear(settings)
		if err := json.Unmarshal(raw, &settings); err != nil {
			t.Fatal(err)
		}
	}
}

// Classes, effects, time limits and tenants are those of the file in use, and a sidecar of another deployment in
// the same process, before or beside it, changes nothing: "view" is safe in one and unsafe in the other.
func TestSettingsAreOfTheFileInUse(t *testing.T) {
	order := []deployment{deployments[0], deployments[1], deployments[0]}
	for n, d := range order {
		t.Run(fmt.Sprint(n, " ", d.file), func(t *testing.T) {
			fails := func(c net.Conn, _ received) bool {
				_, err := io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			}
			var stubs []*stub
			var addresses []string
			for range 4 {
				s := newStub(t, fails)
				stubs, addresses = append(stubs, s), append(addresses, s.address)
			}
			// each class on a sidecar of its own: admission learns from failures
			for class, want := range d.attempts {
				side := start(t, under(t, d.file), addresses...)
				cfg := testConfig(t, listed(1, "ready"), under(t, d.file))
				effect := cfg.Policy.Classes[cfg.Classes[class]].Idempotency
				headers := []string{"X-Tenant-Id", d.tenant, "X-Timeout", "13000m"}
				if effect == policy.IdempotentByKey {
					headers = append(headers, "Idempotency-Key", "k")
				}
				method, body := methodFor[effect], ""
				if effect != policy.Idempotent {
					body = "1"
				}
				res, _ := do(t, side.request(t, method, "/"+class, body, headers...))
				wantStatus := http.StatusServiceUnavailable
				if effect == policy.NonIdempotent || effect == policy.IdempotentByKey && cfg.Policy.Classes[cfg.Classes[class]].DedupScope != policy.DedupEverywhere {
					wantStatus = http.StatusBadGateway
				}
				if res.StatusCode != wantStatus {
					t.Errorf("%s: %s, want %d", class, res.Status, wantStatus)
				}
				sent := 0
				for _, s := range stubs {
					for len(s.seen) > 0 {
						r := <-s.seen
						sent++
						if told, ok := parseTimeout(r.Header.Get("X-Timeout")); !ok || told > time.Duration(min(13000, d.aims[class]))*time.Millisecond {
							t.Errorf("%s: a server may take %v over it, want the aim of %d ms at most", class, told, d.aims[class])
						}
					}
				}
				if sent != want {
					t.Errorf("%s: sent %d times, want %d", class, sent, want)
				}
				for what, req := range map[string]*http.Request{
					"a class of another deployment":  side.request(t, "GET", "/"+d.other, "", "X-Tenant-Id", d.tenant),
					"a tenant of another deployment": side.request(t, method, "/"+class, body, append(headers, "X-Tenant-Id", "north")...),
					"a time beyond the class's":      side.request(t, method, "/"+class, body, append(headers, "X-Timeout", "700000m")...),
				} {
					if res, _ := do(t, req); res.StatusCode != http.StatusBadRequest {
						t.Errorf("%s, %s: %s, want 400", class, what, res.Status)
					}
				}
			}
		})
	}
}

// So are limits, shares and what the module goes by.
func TestLimitsAreOfTheFileInUse(t *testing.T) {
	for _, d := range []deployment{deployments[0], deployments[1], deployments[0]} {
		cfg := testConfig(t, listed(1, "ready", "127.0.0.1:1"), under(t, d.file))
		raw, err := os.ReadFile(filepath.Join("..", "settings", "testdata", d.file))
		if err != nil {
			t.Fatal(err)
		}
		s, err := settings.ParseJSON(raw)
		if err != nil {
			t.Fatal(err)
		}
		if p := cfg.Policy; p.MaxAttempts != d.tries || cfg.DrainGrace != d.grace || float64(cfg.MaxInFlight) != s.Number("caps.max_open") ||
			cfg.ServerIdleTimeout != s.Duration("caps.conn_idle_ms") || cfg.DialTimeout != s.Duration("caps.dial_timeout_ms") ||
			p.MaxRetryAfter != s.Duration("caps.max_retry_after_ms") || p.PollsEndpoints != (s.Text("discovery") == "ask") ||
			p.CrossZoneCost != s.Number("charges.cross_zone") || len(cfg.Tenants) != s.Count("orgs.count") {
			t.Errorf("%s: %+v", d.file, cfg)
		}
		l := newTestLoopFor(t, cfg)
		for i, tenant := range cfg.Policy.Tenants {
			// a slot is a whole one, and two standard deviations are kept for chance
			for j, other := range cfg.Policy.Tenants {
				if tenant.Weight > other.Weight && l.balancer.FreeSlots(i) < l.balancer.FreeSlots(j) {
					t.Errorf("%s: share %v has %d slots, share %v %d", d.file, tenant.Weight, l.balancer.FreeSlots(i), other.Weight, l.balancer.FreeSlots(j))
				}
			}
		}
	}
}
