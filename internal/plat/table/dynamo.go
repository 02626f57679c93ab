package table

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

// Attribute names of a row.
const (
	attrPart  = "part"
	attrSort  = "sort"
	attrRev   = "rev"
	attrWrite = "write"
	attrData  = "data"
)

// Settings configure the connection to the table service.
type Settings struct {
	// Endpoint is the base URL.
	Endpoint string
	// Region, AccessKey and SecretKey sign the requests.
	Region    string
	AccessKey string
	SecretKey string
	// Name is the table's name.
	Name string
	// Timeout bounds one request.
	Timeout time.Duration
}

// Dynamo is a client of one table. It never retries; callers do.
type Dynamo struct {
	client  *dynamodb.Client
	name    string
	timeout time.Duration
	// Observe is called with "read" or "write" on each request.
	Observe func(operation string)
}

// maxResponseBytes bounds a response; the service sends at most 1 MB of items, which are longer in JSON.
const maxResponseBytes = 8 << 20

// NewDynamo returns a client.
func NewDynamo(s Settings) *Dynamo {
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(s.Endpoint),
		Region:       s.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(s.AccessKey, s.SecretKey, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient: &http.Client{Transport: nonEmpty{bound.Transport(&http.Transport{
			MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: bound.MaxHeaderBytes,
		}, maxResponseBytes)}},
	})
	return &Dynamo{client: client, name: s.Name, timeout: s.Timeout, Observe: func(string) {}}
}

// Get reads one row with a strongly consistent read.
func (d *Dynamo) Get(ctx context.Context, part, sort string) (Record, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	d.Observe("read")
	out, err := d.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(d.name),
		ConsistentRead: aws.Bool(true),
		Key: map[string]types.AttributeValue{
			attrPart: &types.AttributeValueMemberS{Value: part},
			attrSort: &types.AttributeValueMemberS{Value: sort},
		},
	})
	if err != nil {
		return Record{}, false, classify(err)
	}
	if len(out.Item) == 0 {
		return Record{}, false, nil
	}
	r, err := decode(out.Item)
	return r, err == nil, err
}

// List returns at most limit rows of a partition with sort keys greater than after, in order.
func (d *Dynamo) List(ctx context.Context, part, after string, limit int) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	d.Observe("read")
	out, err := d.client.Query(ctx, &dynamodb.QueryInput{
		TableName:              aws.String(d.name),
		ConsistentRead:         aws.Bool(true),
		Limit:                  aws.Int32(int32(limit)),
		KeyConditionExpression: aws.String("#part = :part AND #sort > :after"),
		ExpressionAttributeNames: map[string]string{
			"#part": attrPart,
			"#sort": attrSort,
		},
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":part":  &types.AttributeValueMemberS{Value: part},
			":after": &types.AttributeValueMemberS{Value: after},
		},
	})
	if err != nil {
		return nil, classify(err)
	}
	rows := make([]Record, 0, len(out.Items))
	for _, item := range out.Items {
		r, err := decode(item)
		if err != nil {
			return nil, err
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// Put writes one row if its condition holds.
func (d *Dynamo) Put(ctx context.Context, p Put) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	d.Observe("write")
	c := condition(p.Prev)
	_, err := d.client.PutItem(ctx, &dynamodb.PutItemInput{
		TableName:                 aws.String(d.name),
		Item:                      encode(p.Record),
		ConditionExpression:       c.expression,
		ExpressionAttributeNames:  c.names,
		ExpressionAttributeValues: c.values,
	})
	return classify(err)
}

// Transact writes all rows, or none if a condition fails.
func (d *Dynamo) Transact(ctx context.Context, puts []Put) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	d.Observe("write")
	items := make([]types.TransactWriteItem, 0, len(puts))
	for _, p := range puts {
		c := condition(p.Prev)
		items = append(items, types.TransactWriteItem{Put: &types.Put{
			TableName:                 aws.String(d.name),
			Item:                      encode(p.Record),
			ConditionExpression:       c.expression,
			ExpressionAttributeNames:  c.names,
			ExpressionAttributeValues: c.values,
		}})
	}
	_, err := d.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	return classify(err)
}

// conditionExpr is a condition expression with its names and values.
type conditionExpr struct {
	expression *string
	names      map[string]string
	values     map[string]types.AttributeValue
}

// condition requires the stored revision prev, or no row when prev is 0.
func condition(prev int64) conditionExpr {
	if prev == 0 {
		return conditionExpr{
			expression: aws.String("attribute_not_exists(#part)"),
			names:      map[string]string{"#part": attrPart},
		}
	}
	return conditionExpr{
		expression: aws.String("#rev = :prev"),
		names:      map[string]string{"#rev": attrRev},
		values: map[string]types.AttributeValue{
			":prev": &types.AttributeValueMemberN{Value: strconv.FormatInt(prev, 10)},
		},
	}
}

func encode(r Record) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPart:  &types.AttributeValueMemberS{Value: r.Part},
		attrSort:  &types.AttributeValueMemberS{Value: r.Sort},
		attrRev:   &types.AttributeValueMemberN{Value: strconv.FormatInt(r.Rev, 10)},
		attrWrite: &types.AttributeValueMemberS{Value: r.WriteID},
		attrData:  &types.AttributeValueMemberB{Value: r.Data},
	}
}

func decode(item map[string]types.AttributeValue) (Record, error) {
	part, okPart := item[attrPart].(*types.AttributeValueMemberS)
	sort, okSort := item[attrSort].(*types.AttributeValueMemberS)
	rev, okRev := item[attrRev].(*types.AttributeValueMemberN)
	write, okWrite := item[attrWrite].(*types.AttributeValueMemberS)
	data, okData := item[attrData].(*types.AttributeValueMemberB)
	if !okPart || !okSort || !okRev || !okWrite || !okData {
		return Record{}, oops.Errorf("table: row has a missing or mistyped attribute")
	}
	n, err := strconv.ParseInt(rev.Value, 10, 64)
	if err != nil {
		return Record{}, oops.Wrapf(err, "table: revision of %s/%s", part.Value, sort.Value)
	}
	return Record{Part: part.Value, Sort: sort.Value, Rev: n, WriteID: write.Value, Data: data.Value}, nil
}

// classify maps errors of the AWS client to ErrConflict or ErrUnavailable.
func classify(err error) error {
	if err == nil {
		return nil
	}
	var conditionFailed *types.ConditionalCheckFailedException
	if errors.As(err, &conditionFailed) {
		return ErrConflict
	}
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return ErrConflict
	}
	return oops.Wrapf(errors.Join(ErrUnavailable, err), "table call")
}
