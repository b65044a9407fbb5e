package placement

import "context"

// HandleAdmit answers a message on [TopicAdmit].
func (o *Owner) HandleAdmit(ctx context.Context, payload []byte) ([]byte, error) {
	m, err := DecodeAdmitRequest(payload)
	if err != nil {
		return nil, err
	}
	return o.Admit(ctx, m).Encode(), nil
}

// HandleRelease answers a message on [TopicRelease], with nothing if it has no
// notices.
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

// HandleRegister answers a message on [TopicRegister] with nothing.
func (o *Owner) HandleRegister(_ context.Context, payload []byte) ([]byte, error) {
	m, err := DecodeRegister(payload)
	if err != nil {
		return nil, err
	}
	o.Register(m)
	return nil, nil
}

// HandleSum answers a message on [TopicSum].
func (o *Owner) HandleSum(_ context.Context, payload []byte) ([]byte, error) {
	m, err := DecodeSumReport(payload)
	if err != nil {
		return nil, err
	}
	return o.CollectSums(m).Encode(), nil
}
