package store

import (
	"bytes"
	"testing"
)

// BenchmarkCommit measures the commits per second of 16 writers per CPU on a real disk, with group
// commit and with one sync per record. On 4 CPUs these are 64 writers.
func BenchmarkCommit(b *testing.B) {
	for _, syncEach := range []bool{false, true} {
		b.Run(map[bool]string{false: "groups", true: "alone"}[syncEach], func(b *testing.B) {
			l, _, err := Open(Dir(b.TempDir()), Options{SyncEachRecord: syncEach}, nil, nil)
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

// BenchmarkRecover measures opening a log of a million records of 100 bytes each.
func BenchmarkRecover(b *testing.B) {
	const records = 1_000_000
	m := newMemFS(1)
	l, _, err := Open(m, Options{}, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	l.Close()
	file := m.names[logName(0)]
	payload := bytes.Repeat([]byte("x"), 100)
	for i := range uint64(records) {
		file.data = appendRecord(file.data, i+1, i, payload)
	}
	dir := Dir(b.TempDir())
	f, _ := dir.Create(logName(0))
	f.Write(file.data)
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
