package store

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/skylarkquay/skylarkquay/internal/plat/table"
)

// attribute is one DynamoDB attribute value: a string, a number or binary data.
type attribute struct {
	S string `json:"S,omitempty"`
	N string `json:"N,omitempty"`
	B []byte `json:"B,omitempty"`
}

// item is a table row in the wire format.
type item struct {
	Part  attribute `json:"part"`
	Sort  attribute `json:"sort"`
	Rev   attribute `json:"rev"`
	Write attribute `json:"write"`
	Data  attribute `json:"data"`
}

// expressionValues are the expression values that the router uses.
type expressionValues struct {
	Prev  attribute `json:":prev"`
	Part  attribute `json:":part"`
	After attribute `json:":after"`
}

// putInput is the body of PutItem and of a Put in a transaction.
type putInput struct {
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues expressionValues
}

// callInput is the union of the request bodies of all supported calls.
type callInput struct {
	putInput
	Key                    struct{ Part, Sort attribute }
	Limit                  int
	KeyConditionExpression string
	TransactItems          []struct{ Put putInput }
}

// getOutput is the response body of GetItem.
type getOutput struct {
	Item *item `json:"Item,omitempty"`
}

// queryOutput is the response body of Query.
type queryOutput struct {
	Items []item
	Count int
}

// errorOutput is the response body of a failed call.
type errorOutput struct {
	Type                string `json:"__type"`
	Message             string `json:"message"`
	CancellationReasons []struct {
		Code string
	} `json:",omitempty"`
}

const (
	targetPrefix     = "DynamoDB_20120810."
	exceptionPrefix  = "com.amazonaws.dynamodb.v20120810#"
	codeCheckFailed  = "ConditionalCheckFailedException"
	codeTxCanceled   = "TransactionCanceledException"
	codeServerError  = "InternalServerError"
	codeUnknownCall  = "UnknownOperationException"
	contentTypeTable = "application/x-amz-json-1.0"
)

func toItem(r table.Record) item {
	return item{
		Part:  attribute{S: r.Part},
		Sort:  attribute{S: r.Sort},
		Rev:   attribute{N: strconv.FormatInt(r.Rev, 10)},
		Write: attribute{S: r.WriteID},
		Data:  attribute{B: r.Data},
	}
}

func (in putInput) toPut() (table.Put, error) {
	rev, err := strconv.ParseInt(in.Item.Rev.N, 10, 64)
	if err != nil {
		return table.Put{}, err
	}
	p := table.Put{Record: table.Record{
		Part:    in.Item.Part.S,
		Sort:    in.Item.Sort.S,
		Rev:     rev,
		WriteID: in.Item.Write.S,
		Data:    in.Item.Data.B,
	}}
	if strings.HasPrefix(in.ConditionExpression, "attribute_not_exists") {
		return p, nil
	}
	p.Prev, err = strconv.ParseInt(in.ExpressionAttributeValues.Prev.N, 10, 64)
	return p, err
}

// serveTable serves one DynamoDB call.
func (s *Server) serveTable(w http.ResponseWriter, r *http.Request) {
	call := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	var in callInput
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeTableError(w, http.StatusBadRequest, "SerializationException", err.Error())
		return
	}
	s.delay(r.Context())
	switch call {
	case "GetItem":
		rec, ok, err := s.Table.Get(r.Context(), in.Key.Part.S, in.Key.Sort.S)
		out := getOutput{}
		if ok {
			found := toItem(rec)
			out.Item = &found
		}
		writeTableResult(w, out, err)
	case "Query":
		rows, err := s.Table.List(r.Context(), in.ExpressionAttributeValues.Part.S, in.ExpressionAttributeValues.After.S, in.Limit)
		out := queryOutput{Count: len(rows), Items: make([]item, 0, len(rows))}
		for _, rec := range rows {
			out.Items = append(out.Items, toItem(rec))
		}
		writeTableResult(w, out, err)
	case "PutItem":
		p, err := in.toPut()
		if err == nil {
			err = s.Table.Put(r.Context(), p)
		}
		writeTableResult(w, struct{}{}, err)
	case "TransactWriteItems":
		s.serveTransact(w, r, in)
	default:
		writeTableError(w, http.StatusBadRequest, codeUnknownCall, call)
	}
}

func (s *Server) serveTransact(w http.ResponseWriter, r *http.Request, in callInput) {
	puts := make([]table.Put, 0, len(in.TransactItems))
	for _, t := range in.TransactItems {
		p, err := t.Put.toPut()
		if err != nil {
			writeTableError(w, http.StatusBadRequest, "ValidationException", err.Error())
			return
		}
		puts = append(puts, p)
	}
	err := s.Table.Transact(r.Context(), puts)
	if errors.Is(err, table.ErrConflict) {
		writeTableError(w, http.StatusBadRequest, codeTxCanceled, "a condition failed")
		return
	}
	writeTableResult(w, struct{}{}, err)
}

func writeTableResult(w http.ResponseWriter, out any, err error) {
	if errors.Is(err, table.ErrConflict) {
		writeTableError(w, http.StatusBadRequest, codeCheckFailed, "The conditional request failed")
		return
	}
	if err != nil {
		writeTableError(w, http.StatusInternalServerError, codeServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", contentTypeTable)
	_ = json.NewEncoder(w).Encode(out)
}

func writeTableError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", contentTypeTable)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorOutput{Type: exceptionPrefix + code, Message: message})
}
