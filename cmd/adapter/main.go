// Command adapter hosts instances of the decision module for a simulator. It reads one
// batch of events per line from standard input and writes one line of actions for each. It
// decides nothing itself.
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

// run answers each batch from in until end of file.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, 1<<16)
	writer := bufio.NewWriterSize(out, 1<<16)
	hosted := instances{}
	for {
		line, err := reader.ReadBytes('\n')
		if len(line) > 0 {
			if err := hosted.handleLine(line, writer); err != nil {
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

// instances maps instance numbers to their schedulers, which share no state.
type instances map[int]*ashwood.Scheduler

func (h instances) handleLine(line []byte, writer *bufio.Writer) error {
	batch, err := wire.DecodeBatch(line)
	if err != nil {
		return err
	}
	var reply wire.Reply
	for _, part := range batch.Parts {
		actions, err := h.handlePart(batch, part)
		if err != nil {
			return err
		}
		if len(actions) == 0 {
			continue
		}
		replyPart := wire.ReplyPart{Instance: part.Instance, Out: make([]any, len(actions))}
		for i, a := range actions {
			if replyPart.Out[i], err = wire.EncodeAction(a); err != nil {
				return err
			}
		}
		reply.Parts = append(reply.Parts, replyPart)
	}
	data, err := wire.EncodeReply(reply)
	if err != nil {
		return err
	}
	if _, err := writer.Write(append(data, '\n')); err != nil {
		return err
	}
	return writer.Flush()
}

func (h instances) handlePart(batch wire.Batch, part wire.Part) (actions []ashwood.Action, err error) {
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
			scheduler := h[part.Instance]
			if scheduler == nil {
				return nil, fmt.Errorf("instance %d: event %T before NEW_INSTANCE", part.Instance, m)
			}
			actions = scheduler.Handle(batch.Now, m, actions)
		}
	}
	return actions, nil
}
