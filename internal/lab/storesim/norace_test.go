//go:build !race

package storesim

const raceEnabled = false
