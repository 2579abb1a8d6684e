package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/google/jsonschema-go/jsonschema"

	"cloverrock/deploy"
	"cloverrock/internal/store/documents"
)

// errInvalidSchema is the error for a schema that is not valid itself.
var errInvalidSchema = errors.New("the schema is invalid")

// Validate validates a JSON document against a JSON schema. With an error it returns the path of the invalid key,
// separated by dots, if the library reports that path.
func Validate(schema, document []byte) (key string, err error) {
	var parsed jsonschema.Schema
	if err := json.Unmarshal(schema, &parsed); err != nil {
		return "", fmt.Errorf("%w: %w", errInvalidSchema, err)
	}
	resolved, err := parsed.Resolve(nil) // without a loader, so that references to remote schemas are not fetched
	if err != nil {
		return "", fmt.Errorf("%w: %w", errInvalidSchema, err)
	}
	var value any
	if err := json.Unmarshal(document, &value); err != nil {
		return "", fmt.Errorf("not JSON: %w", err)
	}
	if err := resolved.Validate(value); err != nil {
		key, fault := faultyKey(err.Error())
		return key, errors.New(fault)
	}
	return "", nil
}

// faultyKey extracts the path of the invalid key from the library's error message, which lists positions in the schema
// from the outermost to the innermost.
func faultyKey(message string) (key, fault string) {
	var names []string
	parts := strings.Split(message, ": ")
	for len(parts) > 1 && strings.HasPrefix(parts[0], "validating ") {
		path := strings.Split(strings.TrimPrefix(parts[0], "validating "), "/")
		if found := propertyPath(path); len(found) > 0 {
			names = found
		}
		parts = parts[1:]
	}
	return strings.Join(names, "."), strings.Join(parts, ": ")
}

// propertyPath returns the names of the properties on a path through a schema. "*" stands for any property.
func propertyPath(path []string) (names []string) {
	for i := 1; i+1 < len(path); i++ {
		switch path[i] {
		case "properties":
			names = append(names, path[i+1])
			i++
		case "additionalProperties":
			names = append(names, "*")
		}
	}
	return names
}

// ValidateDocument validates a document of the store. The document "gateway" is validated against the program's own
// schema, and any other document against the given schema; nil means that there is no schema. A document that is itself
// a schema must be a valid schema. ValidateDocument is a node.Validator.
func ValidateDocument(name string, body, schema []byte) error {
	if strings.HasSuffix(name, documents.SchemaSuffix) {
		if _, err := Validate(body, []byte("null")); errors.Is(err, errInvalidSchema) {
			return fmt.Errorf("document %s: %w", name, err)
		}
		return nil
	}
	if name == documents.Gateway {
		schema = deploy.Gateway
	}
	if schema == nil {
		return nil
	}
	key, err := Validate(schema, body)
	switch {
	case err == nil:
		return nil
	case key != "":
		return fmt.Errorf("document %s: %s: %w", name, key, err)
	}
	return fmt.Errorf("document %s: %w", name, err)
}
