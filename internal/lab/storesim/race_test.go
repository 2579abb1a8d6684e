//go:build race

package storesim

const raceEnabled = true
