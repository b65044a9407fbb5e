package placement

import "context"

// HandleAdmit handles a message on [TopicAdmit]. It returns an encoded
// [AdmitReply], or an error of type [ErrMalformed].
func (o *Owner) HandleAdmit(ctx context.Context, payload []byte) ([]byte, error) {
	m, err := DecodeAdmitRequest(payload)
	if err != nil {
		return nil, err
	}
	return o.Admit(ctx, m).Encode(), nil
}

// HandleRelease handles a message on [TopicRelease]. It returns an encoded
// [ReleaseReply], or nil if no endpoint is ejected, or an error of type
// [ErrMalformed].
func (o *Owner) HandleRelease(_ context.Context, payload []byte) ([]byte, error) {
	m, err := DecodeReleaseBatch(payload)
	if err != nil {
		return nil, err
	}
	r := o.Release(m)
	if len(r.Ejected) == 0 {
		return nil, nil
	}
	return r.Encode(), nil
}

// HandleRegister handles a message on [TopicRegister]. Its reply is empty. It
// returns an error of type [ErrMalformed] if payload cannot be decoded.
func (o *Owner) HandleRegister(_ context.Context, payload []byte) ([]byte, error) {
	m, err := DecodeRegister(payload)
	if err != nil {
		return nil, err
	}
	o.Register(m)
	return nil, nil
}

// HandleSum handles a message on [TopicSum]. It returns an encoded [SumReply],
// or an error of type [ErrMalformed].
func (o *Owner) HandleSum(_ context.Context, payload []byte) ([]byte, error) {
	m, err := DecodeSumReport(payload)
	if err != nil {
		return nil, err
	}
	return o.CollectSums(m).Encode(), nil
}
