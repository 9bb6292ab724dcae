// Command adapter hosts instances of the decision module and drives them by
// the batches of the wire: one line in, one line out.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers each batch of in until its end.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	w := bufio.NewWriterSize(out, 1<<16)
	h := host{}
	for {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 {
			if err := h.answer(line, w); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// host maps instances to their schedulers, which share nothing.
type host map[int]*ashwood.Scheduler

func (h host) answer(line []byte, w *bufio.Writer) error {
	batch, err := wire.DecodeBatch(line)
	if err != nil {
		return err
	}
	var reply wire.Reply
	for _, part := range batch.Parts {
		actions, err := h.part(batch, part)
		if err != nil {
			return err
		}
		if len(actions) == 0 {
			continue
		}
		p := wire.ReplyPart{Instance: part.Instance, Out: make([]any, len(actions))}
		for i, a := range actions {
			if p.Out[i], err = wire.EncodeAction(a); err != nil {
				return err
			}
		}
		reply.Parts = append(reply.Parts, p)
	}
	data, err := wire.EncodeReply(reply)
	if err != nil {
		return err
	}
	if _, err := w.Write(append(data, '\n')); err != nil {
		return err
	}
	return w.Flush()
}

func (h host) part(batch wire.Batch, part wire.Part) (actions []ashwood.Action, err error) {
	for _, m := range part.Messages {
		switch m := m.(type) {
		case *wire.Start:
			if h[part.Instance], err = ashwood.New(m.Settings, m.Seed); err != nil {
				return nil, err
			}
		case wire.Stop:
			delete(h, part.Instance)
			actions = nil
		case ashwood.Event:
			s := h[part.Instance]
			if s == nil {
				return nil, fmt.Errorf("instance %d: event %T before NEW_INSTANCE", part.Instance, m)
			}
			actions = s.Handle(batch.Now, m, actions)
		}
	}
	return actions, nil
}
