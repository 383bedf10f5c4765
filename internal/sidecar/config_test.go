package sidecar

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"cranehatch/policy"
)

func TestConfig(t *testing.T) {
	c := testConfig(t, fullListResponse(41, "ready", "127.0.0.1:80"), nil)
	if c.Seed != 0x8c1f30d27a5be964 || c.ServerIdleTimeout != 30*time.Second || c.MaxDeadline != 20*time.Second || c.CachedEndpoints.Version != 41 ||
		c.Classes["entry"] != 1 || c.Tenants["south"] != 1 || c.Zones["b"] != 1 || c.MaxInFlight != 100 {
		t.Errorf("config = %+v, want the values of testConfig", c)
	}
	p := c.Policy
	if p.MaxAttempts != 3 || p.Classes[0].Idempotency != policy.IdempotentByKey || p.Classes[1].Idempotency != policy.NonIdempotent ||
		p.Tenants[1].Quota != 50 || p.SlowStartDuration != 5*time.Second || p.ReportFields&policy.HasInFlight == 0 {
		t.Errorf("policy config = %+v, want the values of testSettings", p)
	}
}

// captureLog returns the log output of a function.
func captureLog(f func()) string {
	var log strings.Builder
	defaultLogger := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(defaultLogger)
	f()
	return log.String()
}

// Guards against a sidecar that fails to start, and so does not serve its application, because the cached
// endpoint list is invalid. A restart after a crash uses the last known list. The sidecar must start, log one
// line that names the field, and request the full list from discovery, as without a cached list.
func TestInvalidCachedList(t *testing.T) {
	for name, known := range map[string]string{
		"null":                   "null",
		"number":                 "7",
		"no version":             "{}",
		"no version, no servers": `{"instances":[]}`,
		"version is text":        `{"generation":"x"}`,
		"no port":                `{"generation":1,"instances":[{"instanceId":"s","hostPort":"nowhere","lifecycle":"ready"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			text := testConfigText(t, known, nil)
			var c *Config
			var err error
			log := captureLog(func() { c, err = parseConfig([]byte(text), noEnvironment) })
			if err != nil {
				t.Fatalf("parseConfig error = %v, want nil", err)
			}
			if strings.Count(log, "\n") != 1 || !strings.Contains(log, "config: known: ") {
				t.Errorf("log = %q, want one line that names the field", log)
			}
			if d := newDiscoveryClient(c, nil, nil); len(c.CachedEndpoints.Endpoints) > 0 || d.version >= 0 {
				t.Errorf("cached endpoints = %d, version = %d, want 0 and a negative version", len(c.CachedEndpoints.Endpoints), d.version)
			}
		})
	}
}

// An invalid configuration must be detected at the start, with an error of one line that names the field.
func TestInvalidConfig(t *testing.T) {
	const settings = `{"balancers":1,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":250},"classes":[{"name":"a","aim_ms":5,"hard_limit_ms":9}]}`
	const valid = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","settings":` + settings + `}`
	if _, err := parseConfig([]byte(valid), noEnvironment); err != nil {
		t.Fatal(err)
	}
	for field, edit := range map[string]struct{ old, replacement string }{
		"EDGE_CONFIG":          {valid, "{"},
		"listen":               {`"listen":"127.0.0.1:0",`, ""},
		"discovery":            {`127.0.0.1:1`, "nowhere"},
		"seed":                 {`"1f"`, `"seed"`},
		"settings":             {`,"settings":` + settings, ""},
		"limits":               {`"seed"`, `"limits":{"sockets":3},"seed"`},
		"caps.conn_idle_ms":    {`"conn_idle_ms":30000`, `"conn_idle_ms":0`},
		"caps.dial_timeout_ms": {`,"dial_timeout_ms":250`, ""},
		"caps.most_tries":      {`"most_tries":3`, `"most_tries":"many"`},
		"classes.0.aim_ms":     {`"aim_ms":5`, `"aim_ms":"soon"`},
	} {
		t.Run(field, func(t *testing.T) {
			raw := strings.Replace(valid, edit.old, edit.replacement, 1)
			_, err := parseConfig([]byte(raw), noEnvironment)
			var configError *ConfigError
			if !errors.As(err, &configError) {
				t.Fatalf("error = %v, want a ConfigError", err)
			}
			if !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error = %v, want one line that names the field", err)
			}
		})
	}
}

// Environment variables must replace fields that are missing in the file, and must not override those that it
// has.
func TestEnvironmentFillsMissingFields(t *testing.T) {
	environment := map[string]string{"EDGE_NAME": "n7", "EDGE_LISTEN": "127.0.0.1:7", "EDGE_DISCOVERY": "127.0.0.1:8"}
	text := testConfigText(t, fullListResponse(1, "ready"), func(file, _ map[string]any) {
		delete(file, "name")
		delete(file, "listen")
	})
	c, err := parseConfig([]byte(text), func(variable string) string { return environment[variable] })
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n7" || c.Listen != "127.0.0.1:7" || c.Discovery != "127.0.0.1:1" {
		t.Errorf("name, listen, discovery = %q, %q, %q, want n7, 127.0.0.1:7, 127.0.0.1:1", c.Name, c.Listen, c.Discovery)
	}
}

// Connections of clients take memory. With little of it there must be fewer of them than half of the descriptors, but
// no fewer than a third, which clients may need for requests.
func TestClientConnectionsFitIntoMemory(t *testing.T) {
	for _, c := range []struct{ memoryMB, descriptors, want int }{
		{192, 256, 128}, {32, 256, 128}, {64, 1024, 512}, {32, 1024, 409}, {16, 1024, 341}, {0, 1024, 512},
	} {
		cfg := &Config{MemoryMB: c.memoryMB, MaxDescriptors: c.descriptors}
		if got := cfg.maxClientConns(); got != c.want {
			t.Errorf("%d MB, %d descriptors: %d client connections, want %d", c.memoryMB, c.descriptors, got, c.want)
		}
	}
}

// With few descriptors, an eighth of them is less than the process itself needs. All connections together used to
// take it over its limit then.
func TestConnectionsLeaveDescriptorsForTheProcess(t *testing.T) {
	for descriptors, want := range map[int]int{64: 16, 96: 32, 128: 48, 256: 96, 1024: 384, 32: 8} {
		cfg := &Config{MaxDescriptors: descriptors}
		if got := cfg.maxServerConns(); got != want {
			t.Errorf("%d descriptors: %d connections to servers, want %d", descriptors, got, want)
		}
		rest := descriptors - cfg.maxServerConns() - cfg.maxClientConns()
		if descriptors >= 64 && rest < processDescriptors {
			t.Errorf("%d descriptors: %d are left for the process, want %d", descriptors, rest, processDescriptors)
		}
	}
}
