package flightfrontend

import (
	"bytes"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"

	"brackenfront/internal/protocol"
)

// textSchema is the schema of a value of a node that speaks the framed protocol: one column of text, with one row for each part.
var textSchema = arrow.NewSchema([]arrow.Field{{Name: "value", Type: arrow.BinaryTypes.String}}, nil)

// textTable makes the table in which the text value of a node that speaks the framed protocol is sent to Flight clients: one row
// with one column.
func textTable(value []byte) *protocol.Table {
	builder := array.NewStringBuilder(memory.DefaultAllocator)
	defer builder.Release()
	builder.Append(string(value))
	column := builder.NewArray()
	defer column.Release()
	batch := array.NewRecordBatch(textSchema, []arrow.Array{column}, 1)
	defer batch.Release()
	table, err := BuildTable(textSchema, func(w *ipc.Writer) error { return w.Write(batch) })
	if err != nil {
		// Cannot happen: the table is written to memory, with a fixed schema.
		return &protocol.Table{}
	}
	return table
}

// BuildTable makes a table of the record batches that the function write passes to its ipc.Writer. The table holds the messages
// that the Arrow library encodes them as. It returns the error of write, or of the encoding.
func BuildTable(schema *arrow.Schema, write func(w *ipc.Writer) error) (*protocol.Table, error) {
	var collector messageCollector
	w := ipc.NewWriterWithPayloadWriter(&collector, ipc.WithSchema(schema))
	if err := write(w); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return &protocol.Table{Schema: collector.messages[0], Batches: collector.messages[1:]}, nil
}

// messageCollector implements ipc.PayloadWriter: it collects the messages that the Arrow library encodes, the schema first.
type messageCollector struct {
	// messages are the messages so far: the schema, then the record batches.
	messages []protocol.ArrowMessage
}

// Start implements ipc.PayloadWriter and does nothing.
func (c *messageCollector) Start() error { return nil }

// Close implements ipc.PayloadWriter and does nothing.
func (c *messageCollector) Close() error { return nil }

// WritePayload implements ipc.PayloadWriter: it adds a copy of one message to messages.
func (c *messageCollector) WritePayload(p ipc.Payload) error {
	meta := p.Meta()
	defer meta.Release()
	message := protocol.ArrowMessage{Header: append([]byte(nil), meta.Bytes()...)}
	var body bytes.Buffer
	if err := p.SerializeBody(&body); err != nil {
		return err
	}
	message.Body = body.Bytes()
	c.messages = append(c.messages, message)
	return nil
}
