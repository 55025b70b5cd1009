package soak

import (
	"fmt"
	"io"
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
	case Malformed:
		malform := malformations[p.malformed.Add(1)%uint64(len(malformations))]
		answer := malform(string(data))
		_, err := io.WriteString(to, answer)
		return err == nil && !strings.Contains(answer, connectionClose)
	default: // LateCopy
		second := append([]byte(nil), data...)
		time.AfterFunc(lateCopyDelay, func() { _, _ = to.Write(second) })
		_, err := to.Write(data)
		return err == nil
	}
}

// connectionClose is a field of answers after which the connection ends.
const connectionClose = "Connection: close\r\n"

// malformations turn an answer into one that is malformed but still has what identifies it.
var malformations = []func(answer string) string{
	func(answer string) string { return replaceStatus(answer, "000") },
	func(answer string) string { return replaceStatus(answer, "999") },
	func(answer string) string { return insertLine(answer, "Spoilt Name: x") },
	func(answer string) string { return insertLine(answer, "Spoilt\x01Name: x") },
	func(answer string) string { return strings.Replace(answer, "Content-Length:", "Content-Length :", 1) },
	func(answer string) string { return inChunks(answer, "Transfer-Encoding : chunked") },
	func(answer string) string { return "HTTP/1.1 103 Early Hints\r\nSpoilt Name: x\r\n\r\n" + answer },
	func(answer string) string { return "HTTP/1.1 101 Switching Protocols\r\n\r\n" + answer },
}

// replaceStatus replaces the status code of an answer.
func replaceStatus(answer, code string) string {
	version, rest, _ := strings.Cut(answer, " ")
	return version + " " + code + rest[min(len(rest), len(code)):]
}

// insertLine inserts a line after the status line of an answer.
func insertLine(answer, line string) string {
	return strings.Replace(answer, "\r\n", "\r\n"+line+"\r\n", 1)
}

// inChunks replaces the length of an answer by chunks, which a line announces.
func inChunks(answer, line string) string {
	head, body, ok := strings.Cut(answer, "\r\n\r\n")
	if !ok {
		return insertLine(answer, line)
	}
	head = strings.Replace(head, "Content-Length:", "Former-Length:", 1)
	return fmt.Sprintf("%s\r\n%s\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, line, connectionClose, len(body), body)
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
