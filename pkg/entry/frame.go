package entry

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// frame is a token's event without the token: of a stream's events only the
// number and the text differ, so the rest is encoded once.
type frame struct {
	id     []byte // up to the token's number
	before []byte // between the number and the text
	after  []byte
}

// mark is a text that no model gives; it shows where the text goes.
const mark = "\x00larchwinch\x00"

// newFrame encodes an event of g around the mark.
func newFrame(g *generation) frame {
	whole, err := json.Marshal(g.format.chunk(g, mark))
	if err != nil {
		return frame{} // a chunk holds nothing that can't be encoded
	}
	quoted, _ := json.Marshal(mark) // a string can be encoded
	before, after, _ := bytes.Cut(whole, quoted)
	id := eventID(g, 0)
	return frame{
		id:     []byte("id: " + id[:len(id)-1]),
		before: append([]byte("\ndata: "), before...),
		after:  append(append([]byte(nil), after...), "\n\n"...),
	}
}

// appendEvent appends the event of a token, whose text is encoded already.
func (f frame) appendEvent(b []byte, index int, text []byte) []byte {
	b = append(b, f.id...)
	b = strconv.AppendInt(b, int64(index), 10)
	b = append(b, f.before...)
	b = append(b, text...)
	return append(b, f.after...)
}
