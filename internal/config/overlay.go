package config

import "encoding/json"

// instancesKey is the document's key for the overrides of single instances.
const instancesKey = "instances"

type keyValues map[string]json.RawMessage

// Overlay merges a document of the store into a configuration file and returns the result as JSON. The document's
// top-level keys replace those of the file. The keys below "instances" and an instance's name apply only to that
// instance, and replace both. name is the name of this instance; if it is empty, the file's key name is used. The error
// is an *Error.
func Overlay(file, document []byte, name string) ([]byte, error) {
	var keys, forAll keyValues
	if err := json.Unmarshal(file, &keys); err != nil {
		return nil, decodeError("", err)
	}
	if err := json.Unmarshal(document, &forAll); err != nil {
		return nil, &Error{"document", err}
	}
	if name == "" {
		_ = json.Unmarshal(keys["name"], &name) // an invalid name is reported when the result is parsed
	}
	var byInstance map[string]keyValues
	if raw, ok := forAll[instancesKey]; ok {
		if err := json.Unmarshal(raw, &byInstance); err != nil {
			return nil, &Error{"document.instances", err}
		}
	}
	for _, layer := range []keyValues{forAll, byInstance[name]} {
		for key, value := range layer {
			if key != instancesKey {
				keys[key] = value
			}
		}
	}
	b, err := json.Marshal(keys)
	if err != nil {
		return nil, &Error{"document", err}
	}
	return b, nil
}
