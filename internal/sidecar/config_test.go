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
	c := testConfig(t, listed(41, "ready", "127.0.0.1:80"), nil)
	if c.Seed != 0x8c1f30d27a5be964 || c.ServerIdleTimeout != 30*time.Second || c.MaxDeadline != 20*time.Second || c.CachedEndpoints.Version != 41 ||
		c.Classes["entry"] != 1 || c.Tenants["south"] != 1 || c.Zones["b"] != 1 || c.MaxInFlight != 100 {
		t.Errorf("config %+v", c)
	}
	p := c.Policy
	if p.MaxAttempts != 3 || p.Classes[0].Idempotency != policy.IdempotentByKey || p.Classes[1].Idempotency != policy.NonIdempotent ||
		p.Tenants[1].Quota != 50 || p.SlowStartDuration != 5*time.Second || p.ReportFields&policy.HasInFlight == 0 {
		t.Errorf("the module's config %+v", p)
	}
}

// A list last known that can't be used keeps nobody from being served: one line names it, and discovery is asked for
// the whole list, as it is where none was given.
func TestUnusableKnownList(t *testing.T) {
	for _, known := range []string{
		"null", "7", "{}", `{"instances":[]}`, `{"generation":"x"}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"nowhere","lifecycle":"ready"}]}`,
	} {
		var log strings.Builder
		before := slog.Default()
		slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
		c, err := parseConfig([]byte(testConfigText(t, known, nil)), noEnvironment)
		slog.SetDefault(before)
		if err != nil {
			t.Errorf("%s: %v, want a sidecar that starts", known, err)
			continue
		}
		if strings.Count(log.String(), "\n") != 1 || !strings.Contains(log.String(), "config: known: ") {
			t.Errorf("%s: log %q, want one line that names it", known, &log)
		}
		if d := newDiscoveryClient(c, nil, nil); len(c.CachedEndpoints.Endpoints) > 0 || d.version >= 0 {
			t.Errorf("%s: %d servers taken, and changes asked for since version %d", known, len(c.CachedEndpoints.Endpoints), d.version)
		}
	}
}

// A config that can't be used is told in one line that names the field.
func TestUnusableConfig(t *testing.T) {
	const settings = `{"balancers":1,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":250},"classes":[{"name":"a","aim_ms":5,"hard_limit_ms":9}]}`
	const usable = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","settings":` + settings + `}`
	if _, err := parseConfig([]byte(usable), noEnvironment); err != nil {
		t.Fatal(err)
	}
	for field, edit := range map[string][2]string{
		"EDGE_CONFIG":          {usable, "{"},
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
		raw := strings.Replace(usable, edit[0], edit[1], 1)
		_, err := parseConfig([]byte(raw), noEnvironment)
		var configError *ConfigError
		if !errors.As(err, &configError) {
			t.Errorf("%s: error %v, want a ConfigError", field, err)
			continue
		}
		if !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that names it", field, err)
		}
	}
}
