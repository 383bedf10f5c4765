// Package loadreport decodes the load reports of servers to policy.LoadReport.
//
// The settings name the values that a report holds, in order; see ParseFormat. The simulator's protocol
// sends the bare values in that order (Report), real servers send named values in the X-Server-Load header
// (DecodeText). Both mean the same and are decoded here.
package loadreport

import (
	"math"
	"strconv"
	"strings"

	"cranehatch/internal/millis"
	"cranehatch/policy"
)

// MaxValues is the maximum number of values in one report. Further columns of a format are ignored.
const MaxValues = 4

// textPrefix starts the text form of a report.
const textPrefix = "TEXT "

// Report is one undecoded report: its first Count values, in the order of the Format.
type Report struct {
	Count  int
	Values [MaxValues]float32
}

// column is one value of a report.
type column struct {
	name  string
	field policy.ReportFields // 0: a name that is not known, its values are ignored
}

// Format is the order of the values in a load report. The zero value decodes every report as unknown.
type Format struct {
	columns []column
}

// fieldsByName maps the column names of the settings to the fields of policy.LoadReport.
var fieldsByName = map[string]policy.ReportFields{
	"busy_reqs": policy.HasInFlight,    // requests
	"pending":   policy.HasQueued,      // requests
	"cpu_share": policy.HasUtilization, // fraction of all cores, 0 to 1
	"svc_ms":    policy.HasServiceTime, // milliseconds
	"served_ps": policy.HasThroughput,  // responses per second
	"failed_ps": policy.HasErrorRate,   // errors per second
}

// ParseFormat reads a comma-separated list of column names.
func ParseFormat(names string) Format {
	var format Format
	for name := range strings.SplitSeq(names, ",") {
		format.columns = append(format.columns, column{name: name, field: fieldsByName[name]})
	}
	return format
}

// Fields returns the set of all fields that reports of this format may hold.
func (f Format) Fields() policy.ReportFields {
	var all policy.ReportFields
	for _, c := range f.columns {
		all |= c.field
	}
	return all
}

// Decode converts a report. A value that is negative, infinite or NaN counts as absent.
func (f Format) Decode(report Report) policy.LoadReport {
	var load policy.LoadReport
	for i := range min(report.Count, len(f.columns)) {
		value := float64(report.Values[i])
		if !(value >= 0) || math.IsInf(value, 0) {
			continue
		}
		setField(&load, f.columns[i].field, value)
	}
	return load
}

func setField(load *policy.LoadReport, field policy.ReportFields, value float64) {
	load.Fields |= field
	switch field {
	case policy.HasInFlight:
		load.InFlight = value
	case policy.HasQueued:
		load.Queued = value
	case policy.HasUtilization:
		load.Utilization = value
	case policy.HasServiceTime:
		load.ServiceTime = millis.ToDuration(value)
	case policy.HasThroughput:
		load.Throughput = value
	case policy.HasErrorRate:
		load.ErrorRate = value
	}
}

// DecodeText converts a report of the form "TEXT name=value, name=value". Text of another form is no
// report; a value that is missing or no number counts as absent.
func (f Format) DecodeText(text string) policy.LoadReport {
	pairs, ok := strings.CutPrefix(strings.TrimSpace(text), textPrefix)
	if !ok {
		return policy.LoadReport{}
	}
	report := f.absent()
	for pair := range strings.SplitSeq(pairs, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		f.setNamed(&report, name, value)
	}
	return f.Decode(report)
}

// absent returns a report of this format without any value.
func (f Format) absent() Report {
	report := Report{Count: min(len(f.columns), MaxValues)}
	for i := range report.Count {
		report.Values[i] = float32(math.NaN())
	}
	return report
}

// setNamed sets the columns of that name, unless the value is no number.
func (f Format) setNamed(report *Report, name, value string) {
	for i := range report.Count {
		if f.columns[i].name != name {
			continue
		}
		if v, err := strconv.ParseFloat(value, 32); err == nil {
			report.Values[i] = float32(v)
		}
	}
}
