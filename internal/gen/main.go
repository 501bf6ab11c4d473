// Gen generates the Go code of the program's .proto files, next to them. It needs no compiler
// besides the modules of go.mod, so that any machine can check that the generated code is up to
// date: go run ./internal/gen -check.
package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/pluginpb"

	_ "buf.build/gen/go/bufbuild/protovalidate/protocolbuffers/go/buf/validate"
)

var files = []string{"config/config.proto", "internal/harness/scenario/day.proto"}

func main() {
	check := flag.Bool("check", false, "write nothing; fail if a file is not up to date")
	flag.Parse()
	if err := run(*check); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

// A registeredResolver resolves imports from the descriptors that are linked into the program.
type registeredResolver struct{}

func (registeredResolver) FindFileByPath(p string) (protocompile.SearchResult, error) {
	d, err := protoregistry.GlobalFiles.FindFileByPath(p)
	if err != nil {
		return protocompile.SearchResult{}, err
	}
	return protocompile.SearchResult{Desc: d}, nil
}

// run generates the code of all files and writes or checks it.
func run(check bool) error {
	req, err := request()
	if err != nil {
		return err
	}
	gen, err := protogen.Options{}.New(req)
	if err != nil {
		return err
	}
	for _, f := range gen.Files {
		if f.Generate {
			internal_gengo.GenerateFile(gen, f)
		}
	}
	resp := gen.Response()
	if resp.Error != nil {
		return errors.New(resp.GetError())
	}
	for _, out := range resp.File {
		if err := write(out, check); err != nil {
			return err
		}
	}
	return nil
}

// request compiles the files and their imports to the request that protoc sends to a plugin.
func request() (*pluginpb.CodeGeneratorRequest, error) {
	c := protocompile.Compiler{SourceInfoMode: protocompile.SourceInfoStandard,
		Resolver: protocompile.CompositeResolver{&protocompile.SourceResolver{}, registeredResolver{}}}
	compiled, err := c.Compile(context.Background(), files...)
	if err != nil {
		return nil, err
	}
	req := &pluginpb.CodeGeneratorRequest{FileToGenerate: files}
	seen := map[string]bool{}
	var add func(protoreflect.FileDescriptor)
	add = func(d protoreflect.FileDescriptor) {
		if seen[d.Path()] {
			return
		}
		seen[d.Path()] = true
		for i := range d.Imports().Len() {
			add(d.Imports().Get(i).FileDescriptor)
		}
		req.ProtoFile = append(req.ProtoFile, protodesc.ToFileDescriptorProto(d))
	}
	for _, f := range compiled {
		add(f)
	}
	// Decode the request again, so that the options of the files have the linked types.
	b, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	req = &pluginpb.CodeGeneratorRequest{}
	return req, proto.Unmarshal(b, req)
}

// write writes a generated file if it has changed. With check, a change is an error instead.
func write(out *pluginpb.CodeGeneratorResponse_File, check bool) error {
	name := strings.TrimPrefix(out.GetName(), "kitehub/") // out is named after go_package, an import path
	old, _ := os.ReadFile(name)
	if bytes.Equal(old, []byte(out.GetContent())) {
		return nil
	}
	if check {
		return fmt.Errorf("%s is not up to date: run \"go run ./internal/gen\"", name)
	}
	return os.WriteFile(name, []byte(out.GetContent()), 0o644)
}
