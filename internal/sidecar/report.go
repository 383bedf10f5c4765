package sidecar

import (
	"math"
	"strconv"
	"strings"

	"cranehatch/internal/simprotocol"
	"cranehatch/policy"
)

// parseReport reads a load report of the form "TEXT name=value, name=value". Text of another form, fields that
// are not configured and values that are no numbers count as not reported.
func (t *transport) parseReport(report string) policy.LoadReport {
	report, ok := strings.CutPrefix(strings.TrimSpace(report), "TEXT ")
	if !ok {
		return policy.LoadReport{}
	}
	values := simprotocol.Report{N: min(len(t.reportFields), len(simprotocol.Report{}.Values))}
	for i := range values.N {
		values.Values[i] = float32(math.NaN()) // absent
	}
	for field := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		for i := range values.N {
			if t.reportFields[i] == name {
				if v, err := strconv.ParseFloat(value, 32); err == nil {
					values.Values[i] = float32(v)
				}
			}
		}
	}
	return t.columns.Load(values)
}
