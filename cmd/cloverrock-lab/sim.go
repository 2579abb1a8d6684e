package main

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/spf13/cobra"

	"cloverrock/internal/lab/storesim"
)

func storeSim() *cobra.Command {
	var seeds, first uint64
	var o storesim.Options
	var path string
	var trace bool
	cmd := &cobra.Command{Use: "store-sim", Short: "Play clusters under a simulated network, disk and clock", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			real := rand.Reader
			defer func() { rand.Reader = real }()
			hash, began := xxhash.New(), time.Now()
			type violation struct {
				Seed uint64   `json:"seed"`
				What []string `json:"what"`
			}
			var sum storesim.Result
			found := []violation{}
			for seed := first; seed < first+seeds; seed++ {
				rand.Reader = storesim.Seeded(seed) // raft draws its election times from here
				o.Seed = seed
				if trace {
					o.Trace = cmd.ErrOrStderr()
				}
				r := storesim.Run(o)
				var b [8]byte
				binary.LittleEndian.PutUint64(b[:], r.Hash)
				_, _ = hash.Write(b[:])
				sum.Steps += r.Steps
				sum.Acknowledged += r.Acknowledged
				sum.Elections += r.Elections
				sum.Installs += r.Installs
				sum.Replaced += r.Replaced
				sum.Crashes += r.Crashes
				sum.Corrupt += r.Corrupt
				if len(r.Violations) > 0 {
					found = append(found, violation{seed, r.Violations})
					cmd.PrintErrf("seed %d: %s\n  replay: cloverrock-lab store-sim --first %d --seeds 1 --trace\n", seed, r.Violations[0], seed)
				}
			}
			err := report(path, cmd.OutOrStdout(), map[string]any{
				"seeds": seeds, "first": first, "steps": sum.Steps, "violations": len(found), "trace_hash": fmt.Sprintf("%016x", hash.Sum64()),
				"acknowledged": sum.Acknowledged, "elections": sum.Elections, "snapshots_installed": sum.Installs, "crashes": sum.Crashes,
				"corrupt_disks_found": sum.Corrupt, "replaced": sum.Replaced, "failed": found,
				"simulated_s": float64(seeds) * float64(o.Seconds+40), "wall_s": time.Since(began).Seconds()})
			if err == nil && len(found) > 0 {
				err = fmt.Errorf("%w: %d of %d seeds", errFound, len(found), seeds)
			}
			return err
		}}
	f := cmd.Flags()
	f.Uint64Var(&seeds, "seeds", 100, "how many seeds to play")
	f.Uint64Var(&first, "first", 1, "the first seed")
	f.IntVar(&o.Instances, "instances", 3, "instances of each cluster")
	f.IntVar(&o.Seconds, "for", 20, "simulated seconds under faults")
	f.BoolVar(&o.LoseSyncs, "break-fsync", false, "syncs do nothing: the checks must find it")
	f.BoolVar(&o.Twice, "break-sessions", false, "retries come as new commands: the checks must find it")
	f.StringVar(&path, "json", "-", "where the result goes; - is standard output")
	f.BoolVar(&trace, "trace", false, "tell on standard error what happens")
	return cmd
}
