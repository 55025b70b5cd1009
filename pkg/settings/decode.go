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
	if err := checkDuplicateKeys(data); err != nil {
		found.addf("", "%v", err)
		return found.err()
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		found.addf("", "not valid JSON: %v", err)
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

// checkDuplicateKeys refuses an object that names a key twice: encoding/json
// would silently keep the last value.
func checkDuplicateKeys(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := walkValue(dec, ""); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON document")
	}
	return nil
}

func walkValue(dec *json.Decoder, path string) error {
	token, err := dec.Token()
	if err != nil {
		return fmt.Errorf("not valid JSON: %w", err)
	}
	switch token {
	case json.Delim('{'):
		return walkObject(dec, path)
	case json.Delim('['):
		for i := 0; dec.More(); i++ {
			if err := walkValue(dec, fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
		_, err = dec.Token()
		return err
	}
	return nil
}

func walkObject(dec *json.Decoder, path string) error {
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return fmt.Errorf("not valid JSON: %w", err)
		}
		key, _ := token.(string)
		at := strings.TrimPrefix(path+"."+key, ".")
		if seen[key] {
			return fmt.Errorf("%s: set twice", at)
		}
		seen[key] = true
		if err := walkValue(dec, at); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	return err
}
