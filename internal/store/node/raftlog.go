package node

import (
	"fmt"

	"github.com/rs/zerolog"
)

// raftLog implements raft's logger. It writes to the program's log, with raft's Info as Debug and its Debug as Trace.
type raftLog struct{ log zerolog.Logger }

func (l raftLog) Debug(v ...any)              { l.log.Trace().Msg(fmt.Sprint(v...)) }
func (l raftLog) Debugf(f string, v ...any)   { l.log.Trace().Msgf(f, v...) }
func (l raftLog) Info(v ...any)               { l.log.Debug().Msg(fmt.Sprint(v...)) }
func (l raftLog) Infof(f string, v ...any)    { l.log.Debug().Msgf(f, v...) }
func (l raftLog) Warning(v ...any)            { l.log.Warn().Msg(fmt.Sprint(v...)) }
func (l raftLog) Warningf(f string, v ...any) { l.log.Warn().Msgf(f, v...) }
func (l raftLog) Error(v ...any)              { l.log.Error().Msg(fmt.Sprint(v...)) }
func (l raftLog) Errorf(f string, v ...any)   { l.log.Error().Msgf(f, v...) }
func (l raftLog) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLog) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l raftLog) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLog) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
