package soak

import (
	"net"
	"strings"
	"time"
)

const (
	// lateCopyDelay is how long after an answer its second copy follows, by when the
	// connection may carry the next request.
	lateCopyDelay = 15 * time.Millisecond
	// trickleInterval is the time between two bytes of an answer in mode Trickle.
	trickleInterval = 250 * time.Millisecond
	fillerBytes     = 64 << 10
)

// corrupt forwards bytes of an answer with the fault of a mode, and reports whether the
// connection goes on.
func (p *Proxy) corrupt(to net.Conn, data []byte, mode LinkMode) bool {
	switch mode {
	case EndlessHead:
		return p.fill(to, "HTTP/1.1 200 OK\r\nFiller: ", strings.Repeat("x", fillerBytes))
	case EndlessBody:
		return p.fill(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n"+strings.Repeat("x", fillerBytes)+"\r\n")
	case CutOff:
		_, _ = to.Write(data[:len(data)/2])
		return false
	case Trickle:
		for i := range data {
			if _, err := to.Write(data[i : i+1]); err != nil || p.currentMode() != Trickle {
				return false
			}
			time.Sleep(trickleInterval)
		}
		return true
	default: // LateCopy
		second := append([]byte(nil), data...)
		time.AfterFunc(lateCopyDelay, func() { _, _ = to.Write(second) })
		_, err := to.Write(data)
		return err == nil
	}
}

// fill writes a head and then filler until the other side closes the connection or the
// mode ends.
func (p *Proxy) fill(to net.Conn, head, filler string) bool {
	_, err := to.Write([]byte(head))
	for mode := p.currentMode(); err == nil && p.currentMode() == mode; {
		_, err = to.Write([]byte(filler))
	}
	return false
}
