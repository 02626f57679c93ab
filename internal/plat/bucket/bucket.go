// Package bucket is a client of the platform's object store, which has the S3 API.
package bucket

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

// maxObjectBytes bounds the size that Get reads into memory.
const maxObjectBytes = 64 << 20

// Settings configure the connection to the object store.
type Settings struct {
	// Endpoint is the base URL.
	Endpoint string
	// Region, AccessKey and SecretKey sign the requests.
	Region    string
	AccessKey string
	SecretKey string
	// Name is the bucket's name.
	Name string
	// Timeout bounds one request.
	Timeout time.Duration
}

// S3 is a client of one bucket. It never retries.
type S3 struct {
	client  *s3.Client
	name    string
	timeout time.Duration
}

// NewS3 returns a client.
func NewS3(s Settings) *S3 {
	client := s3.New(s3.Options{
		BaseEndpoint:               aws.String(s.Endpoint),
		Region:                     s.Region,
		UsePathStyle:               true,
		Credentials:                credentials.NewStaticCredentialsProvider(s.AccessKey, s.SecretKey, ""),
		Retryer:                    aws.NopRetryer{},
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		HTTPClient: &http.Client{Transport: bound.Transport(&http.Transport{
			MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: bound.MaxHeaderBytes,
		}, maxObjectBytes)},
	})
	return &S3{client: client, name: s.Name, timeout: s.Timeout}
}

// Get reads an object, or returns false if it does not exist.
func (s *S3) Get(ctx context.Context, key string) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	out, err := s.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(s.name), Key: aws.String(key)})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, oops.Wrapf(err, "object %s", key)
	}
	defer func() { _ = out.Body.Close() }()
	data, err := io.ReadAll(out.Body)
	return data, err == nil, err
}

// Put stores an object.
func (s *S3) Put(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(s.name),
		Key:    aws.String(key),
		Body:   bytes.NewReader(data),
	})
	return err
}
