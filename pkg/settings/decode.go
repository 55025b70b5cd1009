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

// MaxDocumentBytes is the size limit of a configuration document, in bytes. The
// configuration service holds no larger value.
const MaxDocumentBytes = 1 << 20

//go:embed schema.json
var schemaJSON []byte

// schemas returns the compiled JSON schemas of the configuration document and of
// the process settings. They are compiled on first use.
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

// decodeStrict validates data against a schema and decodes them into out. The
// error is an *InvalidError. It names either the first syntax error, with its line
// and column, or the path of every fault against the schema.
func decodeStrict(data []byte, schema string, out any) error {
	var found faults
	value, err := decodeDocument(data)
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

// collectFaults flattens the tree of validation errors into a list of faults.
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

// jsonPath joins the elements of a path with dots; array indexes are written "[0]".
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

// syntaxError wraps an error of the JSON decoder, whose text has no position.
type syntaxError struct{ error }

func (e *syntaxError) Unwrap() error { return e.error }

// locate returns the error with its line and column in data, both counted from 1.
func (e *syntaxError) locate(data []byte) error {
	if len(bytes.TrimSpace(data)) == 0 {
		return errors.New("not valid JSON: no content")
	}
	offset := len(data) // the decoder reports no offset for truncated data
	var syntax *json.SyntaxError
	if errors.As(e.error, &syntax) {
		offset = min(max(int(syntax.Offset), 0), len(data))
	}
	before := data[:offset]
	line := 1 + bytes.Count(before, []byte{'\n'})
	column := offset - (bytes.LastIndexByte(before, '\n') + 1) + 1
	problem := e.Error()
	if syntax == nil {
		problem = "unexpected end of document"
	}
	return fmt.Errorf("not valid JSON at line %d, column %d: %s", line, column, problem)
}

// duplicateKeyError reports an object that has a key more than once.
type duplicateKeyError struct{ path string }

func (e *duplicateKeyError) Error() string { return e.path + ": duplicate key" }

// prefixPath prepends an element of the enclosing value to the path of a
// duplicateKeyError. Building the path only on errors keeps decoding cheap.
func prefixPath(element string, err error) error {
	if duplicate, ok := err.(*duplicateKeyError); ok {
		separator := "."
		if strings.HasPrefix(duplicate.path, "[") {
			separator = ""
		}
		return &duplicateKeyError{element + separator + duplicate.path}
	}
	return err
}

// decodeDocument decodes one JSON value into the types that the schema library
// takes. It refuses duplicate keys, of which encoding/json would silently keep
// the last value.
func decodeDocument(data []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	value, err := decodeValue(dec)
	if err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data after the JSON document")
	}
	return value, nil
}

func decodeValue(dec *json.Decoder) (any, error) {
	token, err := dec.Token()
	if err != nil {
		return nil, &syntaxError{err}
	}
	switch token {
	case json.Delim('{'):
		return decodeObject(dec)
	case json.Delim('['):
		return decodeArray(dec)
	}
	return token, nil
}

func decodeArray(dec *json.Decoder) ([]any, error) {
	array := []any{}
	for dec.More() {
		value, err := decodeValue(dec)
		if err != nil {
			return nil, prefixPath(fmt.Sprintf("[%d]", len(array)), err)
		}
		array = append(array, value)
	}
	if _, err := dec.Token(); err != nil {
		return nil, &syntaxError{err}
	}
	return array, nil
}

func decodeObject(dec *json.Decoder) (map[string]any, error) {
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
		if object[key], err = decodeValue(dec); err != nil {
			return nil, prefixPath(key, err)
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, &syntaxError{err}
	}
	return object, nil
}
