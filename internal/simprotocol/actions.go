package simprotocol

import (
	"encoding/hex"
	"strconv"

	"cloverrock/balance"
)

// actionWords maps balance.ActionKind to the first word of the action's line.
var actionWords = [...]string{
	balance.SendAction:          "issue",
	balance.CancelAction:        "recall",
	balance.RejectAction:        "not_now",
	balance.FailAction:          "finish_error",
	balance.TimerAction:         "set_alarm",
	balance.HealthCheckAction:   "poll",
	balance.CloseIdleAction:     "release",
	balance.GossipAction:        "say",
	balance.LogAction:           "journal_line",
	balance.SubscribeAction:     "stream_changes",
	balance.PollEndpointsAction: "reload",
}

// AppendAction appends the line that encodes an action of an instance.
func AppendAction(b []byte, instance int, a *balance.Action) []byte {
	b = append(b, actionWords[a.Kind]...)
	b = appendInt(b, " who=", int64(instance))
	switch a.Kind {
	case balance.SendAction:
		b = appendInt(b, " ticket=", a.Request)
		b = appendText(b, " host=", a.Host)
		if a.Timeout != 0 {
			b = appendMilliseconds(b, " maxWaitMs=", a.Timeout)
		}
	case balance.CancelAction:
		b = appendInt(b, " ticket=", a.Request)
		b = appendInt(b, " try=", int64(a.Attempt))
	case balance.RejectAction:
		b = appendInt(b, " ticket=", a.Request)
		if a.RetryAfter > 0 {
			b = appendMilliseconds(b, " waitMs=", a.RetryAfter)
		}
	case balance.FailAction:
		b = appendInt(b, " ticket=", a.Request)
	case balance.TimerAction:
		b = appendMilliseconds(b, " whenMs=", a.At)
		b = appendInt(b, " ref=", a.Token)
	case balance.HealthCheckAction, balance.CloseIdleAction:
		b = appendText(b, " host=", a.Host)
	case balance.GossipAction:
		b = appendGossip(b, a)
	case balance.LogAction:
		b = appendText(b, " reasonText=", oneLine(a.Log.String()))
	case balance.SubscribeAction:
		b = appendInt(b, " enable=", 1)
	}
	return append(b, '\n')
}

func appendGossip(b []byte, a *balance.Action) []byte {
	if a.Peer < 0 {
		b = appendText(b, " whom=", "all")
	} else {
		b = appendInt(b, " whom=", int64(a.Peer))
	}
	if len(a.Data) == 0 {
		return appendText(b, " contents=", noContents)
	}
	b = append(b, " contents="...)
	return hex.AppendEncode(b, a.Data)
}

// AppendException appends the line that reports to the simulator that an instance has failed, with the reason.
func AppendException(b []byte, instance int, text string) []byte {
	b = appendInt(b, "exception who=", int64(instance))
	b = appendText(b, " reasonText=", oneLine(text))
	return append(b, '\n')
}

// oneLine replaces control characters with spaces, so that the text cannot end the line.
func oneLine(s string) string {
	out := []byte(s)
	for i, ch := range out {
		if ch < ' ' {
			out[i] = ' '
		}
	}
	return string(out)
}

func appendText(b []byte, name, value string) []byte {
	b = append(b, name...)
	return append(b, value...)
}

func appendInt(b []byte, name string, value int64) []byte {
	b = append(b, name...)
	return strconv.AppendInt(b, value, 10)
}

// appendMilliseconds appends microseconds as milliseconds, with three decimals unless the number is an integer.
func appendMilliseconds(b []byte, name string, us int64) []byte {
	b = append(b, name...)
	if us < 0 {
		b = append(b, '-')
		us = -us
	}
	b = strconv.AppendInt(b, us/1000, 10)
	if rest := us % 1000; rest != 0 {
		b = append(b, '.', byte('0'+rest/100), byte('0'+rest/10%10), byte('0'+rest%10))
	}
	return b
}
