// Package loadreport decodes load reports of servers to policy.LoadReport.
//
// The settings name the values of a report in order; see ParseFormat. The simulator's protocol sends the
// values in that order without names (Report). Servers send name=value pairs, which the sidecar reads from the
// body of a response to a health check (DecodeText). Both forms carry the same values.
package loadreport

import (
	"math"
	"strconv"
	"strings"

	"cranehatch/internal/millis"
	"cranehatch/policy"
)

// MaxValues is the maximum number of values in a report. Columns of a format beyond it are never decoded.
const MaxValues = 4

// textPrefix is the prefix of the text form of a report.
const textPrefix = "TEXT "

// Report is an undecoded report. Its values are in the order of the columns of a Format.
type Report struct {
	Count  int                // number of valid elements of Values, at most MaxValues
	Values [MaxValues]float32 // each in the unit of its column; NaN: absent
}

// column describes one value of a report.
type column struct {
	name  string
	field policy.ReportFields // 0: the name is unknown and the value is ignored
}

// Format is the order of the values in a load report. The zero value decodes every report to an empty
// LoadReport.
type Format struct {
	columns []column
}

// fieldsByName maps the column names of the settings to the fields of policy.LoadReport. The comments give
// the unit of each column.
var fieldsByName = map[string]policy.ReportFields{
	"busy_reqs": policy.HasInFlight,    // requests
	"pending":   policy.HasQueued,      // requests
	"cpu_share": policy.HasUtilization, // fraction of all cores, 0 to 1
	"svc_ms":    policy.HasServiceTime, // milliseconds
	"served_ps": policy.HasThroughput,  // responses per second
	"failed_ps": policy.HasErrorRate,   // errors per second
}

// ParseFormat parses a comma-separated list of column names. Unknown names keep their position.
func ParseFormat(names string) Format {
	var format Format
	for name := range strings.SplitSeq(names, ",") {
		format.columns = append(format.columns, column{name: name, field: fieldsByName[name]})
	}
	return format
}

// Fields returns the set of LoadReport fields that the columns of the format map to.
func (f Format) Fields() policy.ReportFields {
	var all policy.ReportFields
	for _, c := range f.columns {
		all |= c.field
	}
	return all
}

// Decode converts a report. A value that is negative, infinite or NaN is treated as absent.
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

// DecodeText converts a report of the form "TEXT name=value, name=value". Text of another form results in an
// empty LoadReport. A value that is missing or not a number is treated as absent.
func (f Format) DecodeText(text string) policy.LoadReport {
	pairs, ok := strings.CutPrefix(strings.TrimSpace(text), textPrefix)
	if !ok {
		return policy.LoadReport{}
	}
	report := f.emptyReport()
	for pair := range strings.SplitSeq(pairs, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		f.setByName(&report, name, value)
	}
	return f.Decode(report)
}

// emptyReport returns a report of this format in which all values are absent.
func (f Format) emptyReport() Report {
	report := Report{Count: min(len(f.columns), MaxValues)}
	for i := range report.Count {
		report.Values[i] = float32(math.NaN())
	}
	return report
}

// setByName sets the value of each column called name, unless value is not a number.
func (f Format) setByName(report *Report, name, value string) {
	for i := range report.Count {
		if f.columns[i].name != name {
			continue
		}
		if number, err := strconv.ParseFloat(value, 32); err == nil {
			report.Values[i] = float32(number)
		}
	}
}
