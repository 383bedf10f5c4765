package loadreport

import (
	"math"
	"testing"
	"time"

	"cranehatch/policy"
)

// example is the load report of the example in the protocol documentation.
var example = Report{Count: 4, Values: [MaxValues]float32{0.5, 14.5, 140, 7}}

func TestDecode(t *testing.T) {
	all := ParseFormat("cpu_share,svc_ms,served_ps,busy_reqs")
	notANumber := example
	notANumber.Values[0] = float32(math.NaN())
	negative := example
	negative.Values[0] = -1
	infinite := example
	infinite.Values[0] = float32(math.Inf(1))
	complete := policy.LoadReport{Fields: all.Fields(), Utilization: 0.5, ServiceTime: 14500 * time.Microsecond, Throughput: 140, InFlight: 7}
	withoutFirst := complete
	withoutFirst.Fields &^= policy.HasUtilization
	withoutFirst.Utilization = 0
	for _, test := range []struct {
		name   string
		format Format
		report Report
		want   policy.LoadReport
	}{
		{"all values", all, example, complete},
		{"unknown column", ParseFormat("later,cpu_share"), example, policy.LoadReport{Fields: policy.HasUtilization, Utilization: 14.5}},
		{"value not a number", all, notANumber, withoutFirst},
		{"negative value", all, negative, withoutFirst},
		{"infinite value", all, infinite, withoutFirst},
		{"no report", all, Report{}, policy.LoadReport{}},
		{"other fields", ParseFormat("pending,failed_ps"), example, policy.LoadReport{Fields: policy.HasQueued | policy.HasErrorRate, Queued: 0.5, ErrorRate: 14.5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.format.Decode(test.report); got != test.want {
				t.Errorf("Decode() = %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestFields(t *testing.T) {
	want := policy.HasUtilization | policy.HasServiceTime | policy.HasThroughput | policy.HasInFlight
	if got := ParseFormat("cpu_share,svc_ms,served_ps,busy_reqs,later").Fields(); got != want {
		t.Errorf("Fields() = %b, want %b", got, want)
	}
}

func TestDecodeText(t *testing.T) {
	format := ParseFormat("cpu_share,svc_ms,served_ps,busy_reqs,failed_ps")
	for _, test := range []struct {
		name, text string
		want       policy.LoadReport
	}{
		{"some values", " TEXT busy_reqs=7, cpu_share=0.5 ", policy.LoadReport{Fields: policy.HasInFlight | policy.HasUtilization, InFlight: 7, Utilization: 0.5}},
		{"no value", "TEXT ", policy.LoadReport{}},
		{"value not a number", "TEXT busy_reqs=many,cpu_share=NaN,svc_ms=2", policy.LoadReport{Fields: policy.HasServiceTime, ServiceTime: 2 * time.Millisecond}},
		{"unknown name", "TEXT later=1,svc_ms=2", policy.LoadReport{Fields: policy.HasServiceTime, ServiceTime: 2 * time.Millisecond}},
		{"more columns than a report holds", "TEXT failed_ps=1,svc_ms=2", policy.LoadReport{Fields: policy.HasServiceTime, ServiceTime: 2 * time.Millisecond}},
		{"other form", "JSON svc_ms=2", policy.LoadReport{}},
		{"empty", "", policy.LoadReport{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := format.DecodeText(test.text); got != test.want {
				t.Errorf("DecodeText() = %+v, want %+v", got, test.want)
			}
		})
	}
}
