package settings

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
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
	var syntax *syntaxError
	if errors.As(err, &syntax) {
		err = syntax.locate(data)
	}
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
	path := jsonPath(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			found.addf(strings.TrimPrefix(path+"."+name, "."), "unknown field")
		}
	case *kind.Required:
		for _, name := range k.Missing {
			found.addf(strings.TrimPrefix(path+"."+name, "."), "is missing")
		}
	case *kind.Minimum:
		found.addf(path, "%s is below %s", k.Got.RatString(), k.Want.RatString())
	case *kind.Maximum:
		found.addf(path, "%s is above %s", k.Got.RatString(), k.Want.RatString())
	default:
		found.addf(path, "%s", k.LocalizedString(message.NewPrinter(language.English)))
	}
}

// jsonPath joins the elements of a path; elements of arrays are written "[0]".
func jsonPath(elements []string) string {
	var path strings.Builder
	for _, e := range elements {
		if _, err := strconv.ParseUint(e, 10, 31); err == nil {
			path.WriteString("[" + e + "]")
			continue
		}
		if path.Len() > 0 {
			path.WriteByte('.')
		}
		path.WriteString(e)
	}
	return path.String()
}

// syntaxError is an error of the JSON decoder, which does not say where.
type syntaxError struct{ error }

func (e *syntaxError) Unwrap() error { return e.error }

// locate adds the line and column, both from 1, to the error.
func (e *syntaxError) locate(data []byte) error {
	if len(bytes.TrimSpace(data)) == 0 {
		return errors.New("not valid JSON: it is empty")
	}
	at := len(data) // the decoder reports no offset if the data end too early
	var syntax *json.SyntaxError
	if errors.As(e.error, &syntax) {
		at = min(max(int(syntax.Offset), 0), len(data))
	}
	before := data[:at]
	line := 1 + bytes.Count(before, []byte{'\n'})
	column := at - (bytes.LastIndexByte(before, '\n') + 1) + 1
	problem := e.Error()
	if syntax == nil {
		problem = "it ends too early"
	}
	return fmt.Errorf("not valid JSON at line %d, column %d: %s", line, column, problem)
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
		return nil, &syntaxError{err}
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
	if _, err := dec.Token(); err != nil {
		return nil, &syntaxError{err}
	}
	return array, nil
}

func walkObject(dec *json.Decoder) (map[string]any, error) {
	object := map[string]any{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return nil, &syntaxError{err}
		}
		key, _ := token.(string)
		if _, ok := object[key]; ok {
			return nil, &duplicateKeyError{key}
		}
		if object[key], err = walkValue(dec); err != nil {
			return nil, inside(key, err)
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, &syntaxError{err}
	}
	return object, nil
}
