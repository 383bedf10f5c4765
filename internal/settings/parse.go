package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Parse reads path=value lines. Keys are not checked, so that settings of later versions are accepted.
// It returns a *LineError for a line without "=".
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

// ParseJSON reads nested JSON. Lists of plain values are joined by commas; lists of objects put their
// length under PATH.count and their items under PATH.0, PATH.1 and so on. A null counts as absent.
// It returns a *JSONError where the text is no JSON object.
func ParseJSON(text []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber() // so that numbers are the same text as in the path=value form
	var root map[string]any
	if err := decoder.Decode(&root); err != nil {
		return nil, &JSONError{Err: err}
	}
	s := &Settings{values: make(map[string]string, expectedKeys)}
	s.flattenObject("", root)
	return s, nil
}

// flatten stores a JSON value, and those nested in it, by path.
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
	var plain []string
	for i, item := range list {
		if _, ok := item.(map[string]any); ok {
			s.flatten(path+"."+strconv.Itoa(i), item)
			continue
		}
		plain = append(plain, strings.ReplaceAll(fmt.Sprint(item), ",", "_"))
	}
	s.values[path+".count"] = strconv.Itoa(len(list))
	s.values[path] = strings.Join(plain, ",")
}
