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

// deployment is the behaviour expected of a sidecar with the settings of one file.
type deployment struct {
	settingsFile string
	tenant       string           // a tenant that only this deployment has
	otherClass   string           // a class that only the other deployment has
	wantAttempts map[string]int   // number of attempts of a failing request, by class
	objectives   map[string]int64 // latency objective in ms, by class; limits the timeout sent to a server
	drainGrace   time.Duration
	maxAttempts  int
}

var (
	pisteDeployment = deployment{
		settingsFile: "piste.json", tenant: "low", otherClass: "lock", maxAttempts: 3, drainGrace: time.Second,
		wantAttempts: map[string]int{"view": 3, "update": 3, "order": 1},
		objectives:   map[string]int64{"view": 10000, "update": 20000, "order": 30000},
	}
	deskDeployment = deployment{
		settingsFile: "desk.json", tenant: "dispatch", otherClass: "update", maxAttempts: 2, drainGrace: 400 * time.Millisecond,
		wantAttempts: map[string]int{"lock": 1, "view": 1, "log": 2, "plan": 2},
		objectives:   map[string]int64{"lock": 15000, "view": 12000, "log": 11000, "plan": 13000},
	}
	// The first deployment runs again last, to detect state that is left behind by an earlier sidecar.
	deploymentOrder = []deployment{pisteDeployment, deskDeployment, pisteDeployment}
)

func (d deployment) readSettings(t *testing.T) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "settings", "testdata", d.settingsFile))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// replaceSettings returns an edit for testConfig that replaces the settings with those of the deployment.
func (d deployment) replaceSettings(t *testing.T) func(file, settings map[string]any) {
	t.Helper()
	raw := d.readSettings(t)
	return func(_, settings map[string]any) {
		clear(settings)
		if err := json.Unmarshal(raw, &settings); err != nil {
			t.Fatal(err)
		}
	}
}

// newFailingStubs starts n stub servers that answer every request with status 500.
func newFailingStubs(t *testing.T, n int) (stubs []*stub, addresses []string) {
	t.Helper()
	fail := func(c net.Conn, _ receivedRequest) bool {
		_, err := io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	for range n {
		s := newStub(t, fail)
		stubs, addresses = append(stubs, s), append(addresses, s.address)
	}
	return stubs, addresses
}

// Guards against a sidecar that applies another deployment's settings, and would for instance retry a
// non-idempotent request: "view" is idempotent in one deployment but not in the other. Classes, idempotency,
// time limits and tenants must come from the file in use, even if other sidecars run earlier or concurrently
// in the same process.
func TestSettingsComeFromFileInUse(t *testing.T) {
	for n, d := range deploymentOrder {
		t.Run(fmt.Sprint(n, " ", d.settingsFile), func(t *testing.T) {
			stubs, addresses := newFailingStubs(t, 4)
			for class := range d.wantAttempts {
				d.checkClass(t, class, stubs, addresses)
			}
		})
	}
}

// checkClass sends one failing request of a class, and some requests that are invalid in this deployment. It
// starts a new sidecar for them, because a sidecar makes fewer attempts after failures.
func (d deployment) checkClass(t *testing.T, class string, stubs []*stub, addresses []string) {
	t.Helper()
	side := startSidecar(t, d.replaceSettings(t), addresses...)
	cfg := testConfig(t, fullListResponse(1, "ready"), d.replaceSettings(t))
	classConfig := cfg.Policy.Classes[cfg.Classes[class]]
	headers := []string{"X-Tenant-Id", d.tenant, "X-Timeout", "13000m"}
	if classConfig.Idempotency == policy.IdempotentByKey {
		headers = append(headers, "Idempotency-Key", "k")
	}
	method, body := methodFor[classConfig.Idempotency], ""
	if classConfig.Idempotency != policy.Idempotent {
		body = "1"
	}

	res, _ := doRequest(t, side.newRequest(t, method, "/"+class, body, headers...))
	if want := failureStatus(classConfig); res.StatusCode != want {
		t.Errorf("class %s: status = %s, want %d", class, res.Status, want)
	}
	d.checkAttempts(t, class, stubs)

	for invalid, req := range map[string]*http.Request{
		"a class of another deployment":  side.newRequest(t, "GET", "/"+d.otherClass, "", "X-Tenant-Id", d.tenant),
		"a tenant of another deployment": side.newRequest(t, method, "/"+class, body, append(headers, "X-Tenant-Id", "north")...),
		"a timeout beyond the class's":   side.newRequest(t, method, "/"+class, body, append(headers, "X-Timeout", "700000m")...),
	} {
		if res, _ := doRequest(t, req); res.StatusCode != http.StatusBadRequest {
			t.Errorf("class %s, %s: status = %s, want 400", class, invalid, res.Status)
		}
	}
}

// failureStatus returns the status of the response after a request has failed on all servers: 503, which
// permits a client retry, unless the request may have been executed and a retry could execute it again.
func failureStatus(class policy.Class) int {
	dedupIsPartial := class.Idempotency == policy.IdempotentByKey && class.DedupScope != policy.DedupEverywhere
	if class.Idempotency == policy.NonIdempotent || dedupIsPartial {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// checkAttempts checks how many attempts the servers received for the request of a class, and with which
// timeout.
func (d deployment) checkAttempts(t *testing.T, class string, stubs []*stub) {
	t.Helper()
	maxTimeout := time.Duration(min(13000, d.objectives[class])) * time.Millisecond
	attempts := 0
	for _, s := range stubs {
		for len(s.receivedRequests) > 0 {
			r := <-s.receivedRequests
			attempts++
			if timeout, ok := parseTimeout(r.Header.Get("X-Timeout")); !ok || timeout > maxTimeout {
				t.Errorf("class %s: X-Timeout = %v, want at most %v", class, timeout, maxTimeout)
			}
		}
	}
	if want := d.wantAttempts[class]; attempts != want {
		t.Errorf("class %s: attempts = %d, want %d", class, attempts, want)
	}
}

// Limits, the tenants' shares and the other settings of the policy must come from the file in use.
func TestLimitsComeFromFileInUse(t *testing.T) {
	for n, d := range deploymentOrder {
		t.Run(fmt.Sprint(n, " ", d.settingsFile), func(t *testing.T) {
			cfg := testConfig(t, fullListResponse(1, "ready", "127.0.0.1:1"), d.replaceSettings(t))
			s, err := settings.ParseJSON(d.readSettings(t))
			if err != nil {
				t.Fatal(err)
			}
			if p := cfg.Policy; p.MaxAttempts != d.maxAttempts || cfg.DrainGrace != d.drainGrace || float64(cfg.MaxInFlight) != s.Number("caps.max_open") ||
				cfg.ServerIdleTimeout != s.Duration("caps.conn_idle_ms") || cfg.DialTimeout != s.Duration("caps.dial_timeout_ms") ||
				p.MaxRetryAfter != s.Duration("caps.max_retry_after_ms") || p.PollsEndpoints != (s.Text("discovery") == "ask") ||
				p.CrossZoneCost != s.Number("charges.cross_zone") || len(cfg.Tenants) != s.Count("orgs.count") {
				t.Errorf("config = %+v, want the values of the settings file", cfg)
			}
			checkSlotsFollowWeights(t, cfg)
		})
	}
}

// checkSlotsFollowWeights checks that no tenant has fewer slots than a tenant with a lower weight.
func checkSlotsFollowWeights(t *testing.T, cfg *Config) {
	t.Helper()
	l := newTestLoopWithConfig(t, cfg)
	for i, tenant := range cfg.Policy.Tenants {
		for j, other := range cfg.Policy.Tenants {
			if tenant.Weight > other.Weight && l.balancer.FreeSlots(i) < l.balancer.FreeSlots(j) {
				t.Errorf("slots with weight %v = %d, want at least those with weight %v = %d",
					tenant.Weight, l.balancer.FreeSlots(i), other.Weight, l.balancer.FreeSlots(j))
			}
		}
	}
}
