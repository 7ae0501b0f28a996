package standin

import (
	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"

	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/flightfrontend"
)

// maxBatchRows is the largest number of rows in one record batch of a stand-in node's table.
const maxBatchRows = 4096

// PriceSchema is the Arrow schema of the tables that stand-in nodes return: a column with the shard and one with a price.
var PriceSchema = arrow.NewSchema([]arrow.Field{
	{Name: "shard", Type: arrow.PrimitiveTypes.Int64},
	{Name: "price", Type: arrow.PrimitiveTypes.Float64},
}, nil)

// ShardTable makes the table of a shard with the given number of rows, in batches of at most maxBatchRows; with no rows it has one
// empty batch. The prices of a shard differ from row to row, and are the same in every table.
func ShardTable(shard, rows int) *protocol.Table {
	table, err := flightfrontend.BuildTable(PriceSchema, func(w *ipc.Writer) error {
		builder := array.NewRecordBuilder(memory.DefaultAllocator, PriceSchema)
		defer builder.Release()
		for first := 0; ; {
			size := min(maxBatchRows, rows-first)
			for i := range size {
				builder.Field(0).(*array.Int64Builder).Append(int64(shard))
				builder.Field(1).(*array.Float64Builder).Append(float64(shard) + float64(first+i)/1e6)
			}
			batch := builder.NewRecordBatch()
			err := w.Write(batch)
			batch.Release()
			if first += size; err != nil || first >= rows {
				return err
			}
		}
	})
	// The table is written to memory with a fixed schema, so an error is a fault of this function.
	if err != nil {
		panic(err)
	}
	table.Rows = int64(rows)
	return table
}
