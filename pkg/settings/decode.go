package settings

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// MaxDocumentBytes is the largest value the configuration service holds.
const MaxDocumentBytes = 1 << 20

//go:embed schema.json
var schemaJSON []byte

// schemas returns the compiled schemas of the configuration document and of
// the process settings.
var schemas = sync.OnceValue(func() map[string]*jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(fmt.Sprintf("embedded schema: %v", err)) // broken invariant: the schema ships with the binary
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("schema.json", doc); err != nil {
		panic(fmt.Sprintf("embedded schema: %v", err))
	}
	return map[string]*jsonschema.Schema{
		"document": c.MustCompile("schema.json#/$defs/document"),
		"process":  c.MustCompile("schema.json#/$defs/process"),
	}
})

// decodeStrict checks data against a schema and decodes it into out. It
// reports every fault with its path.
func decodeStrict(data []byte, schema string, out any) error {
	var found faults
	value, err := readValue(data)
	if err != nil {
		found.addf("", "%v", err)
		return found.err()
	}
	if err := schemas()[schema].Validate(value); err != nil {
		var invalid *jsonschema.ValidationError
		if !errors.As(err, &invalid) {
			return err
		}
		collectFaults(invalid, &found)
		return found.err()
	}
	if err := json.Unmarshal(data, out); err != nil {
		found.addf("", "%v", err)
	}
	return found.err()
}

// collectFaults flattens a validation error into faults with paths.
func collectFaults(e *jsonschema.ValidationError, found *faults) {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			collectFaults(cause, found)
		}
		return
	}
	path := strings.Join(e.InstanceLocation, ".")
	if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, name := range extra.Properties {
			found.addf(strings.TrimPrefix(path+"."+name, "."), "unknown field")
		}
		return
	}
	found.addf(path, "%s", e.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
}

// duplicateKeyError says that an object names a key twice.
type duplicateKeyError struct{ path string }

func (e *duplicateKeyError) Error() string { return e.path + ": set twice" }

// inside puts an element of the enclosing value before the error's path. The
// path is built only when there is an error, which keeps the walk cheap.
func inside(element string, err error) error {
	if duplicate, ok := err.(*duplicateKeyError); ok {
		separator := "."
		if strings.HasPrefix(duplicate.path, "[") {
			separator = ""
		}
		return &duplicateKeyError{element + separator + duplicate.path}
	}
	return err
}

// readValue decodes one JSON value in the form that the schema library takes.
// It refuses an object that names a key twice: encoding/json would silently
// keep the last value.
func readValue(data []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	value, err := walkValue(dec)
	if err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data after the JSON document")
	}
	return value, nil
}

func walkValue(dec *json.Decoder) (any, error) {
	token, err := dec.Token()
	if err != nil {
		return nil, fmt.Errorf("not valid JSON: %w", err)
	}
	switch token {
	case json.Delim('{'):
		return walkObject(dec)
	case json.Delim('['):
		return walkArray(dec)
	}
	return token, nil
}

func walkArray(dec *json.Decoder) ([]any, error) {
	array := []any{}
	for dec.More() {
		value, err := walkValue(dec)
		if err != nil {
			return nil, inside(fmt.Sprintf("[%d]", len(array)), err)
		}
		array = append(array, value)
	}
	_, err := dec.Token()
	return array, err
}

func walkObject(dec *json.Decoder) (map[string]any, error) {
	object := map[string]any{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return nil, fmt.Errorf("not valid JSON: %w", err)
		}
		key, _ := token.(string)
		if _, ok := object[key]; ok {
			return nil, &duplicateKeyError{key}
		}
		if object[key], err = walkValue(dec); err != nil {
			return nil, inside(key, err)
		}
	}
	_, err := dec.Token()
	return object, err
}
