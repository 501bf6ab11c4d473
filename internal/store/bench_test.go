package store

import (
	"bytes"
	"testing"
)

// BenchmarkCommit: commits a second by 64 writers on this machine's disk, in groups and alone.
func BenchmarkCommit(b *testing.B) {
	for _, alone := range []bool{false, true} {
		b.Run(map[bool]string{false: "groups", true: "alone"}[alone], func(b *testing.B) {
			l, _, err := Open(Dir(b.TempDir()), Options{SyncEachRecord: alone}, nil, nil)
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			payload := bytes.Repeat([]byte("x"), 200)
			b.SetParallelism(16)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := l.Append(ctx, payload); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkRecover: a million records of 100 bytes.
func BenchmarkRecover(b *testing.B) {
	const records = 1_000_000
	m := newMemory(1)
	l, _, err := Open(m, Options{}, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	l.Close()
	n := m.names[logName(0)]
	payload := bytes.Repeat([]byte("x"), 100)
	for i := range uint64(records) {
		n.data = appendRecord(n.data, i+1, i, payload)
	}
	dir := Dir(b.TempDir())
	f, _ := dir.Create(logName(0))
	f.Write(n.data)
	f.Close()
	b.ResetTimer()
	for b.Loop() {
		count := 0
		l, _, err := Open(dir, Options{}, nil, func(uint64, []byte) error { count++; return nil })
		if err != nil || count != records {
			b.Fatal(count, err)
		}
		l.Close()
	}
}
