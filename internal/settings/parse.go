package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Parse parses path=value lines; empty lines are skipped. Keys are not checked, so that settings of later
// versions are accepted. Parse returns a *LineError for a line without "=".
func Parse(text []byte) (*Settings, error) {
	s := &Settings{values: make(map[string]string, expectedKeys)}
	for i, line := range bytes.Split(text, []byte{'\n'}) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		key, value, ok := strings.Cut(string(line), "=")
		if !ok {
			return nil, &LineError{Line: i + 1, Text: string(line)}
		}
		s.values[key] = value
	}
	return s, nil
}

// ParseJSON parses nested JSON. The length of a list is stored as PATH.count. Items that are objects are
// stored under PATH.0, PATH.1 and so on. Other items are joined by commas and stored as PATH; a comma within
// an item becomes "_". A null is treated as absent, except as an item of a list, where it becomes the text
// "<nil>". ParseJSON returns a *JSONError if the text does not start with a JSON object or null.
func ParseJSON(text []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber() // keeps the text of numbers, as in the path=value form
	var root map[string]any
	if err := decoder.Decode(&root); err != nil {
		return nil, &JSONError{Err: err}
	}
	s := &Settings{values: make(map[string]string, expectedKeys)}
	s.flattenObject("", root)
	return s, nil
}

// flatten stores a JSON value and all values nested in it by their paths.
func (s *Settings) flatten(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		s.flattenObject(path, value)
	case []any:
		s.flattenList(path, value)
	case nil:
	default:
		s.values[path] = fmt.Sprint(value)
	}
}

func (s *Settings) flattenObject(path string, object map[string]any) {
	if path != "" {
		path += "."
	}
	for key, value := range object {
		s.flatten(path+key, value)
	}
}

func (s *Settings) flattenList(path string, list []any) {
	var scalars []string
	for i, item := range list {
		if _, ok := item.(map[string]any); ok {
			s.flatten(path+"."+strconv.Itoa(i), item)
			continue
		}
		scalars = append(scalars, strings.ReplaceAll(fmt.Sprint(item), ",", "_"))
	}
	s.values[path+".count"] = strconv.Itoa(len(list))
	s.values[path] = strings.Join(scalars, ",")
}
