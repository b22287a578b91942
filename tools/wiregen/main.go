// Command wiregen generates the Go code of a proto file and writes it next to that file. The compiler and the generator
// are pinned in go.mod, so that no protoc needs to be installed.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// generatedMode is the file mode of the generated code.
const generatedMode = 0o644

func main() {
	if err := run(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "wiregen:", err)
		os.Exit(1)
	}
}

// run generates the code of the one proto file that the arguments name.
func run(ctx context.Context, arguments []string) error {
	if len(arguments) != 1 {
		return errors.New("usage: wiregen FILE.proto")
	}
	folder, name := filepath.Split(arguments[0])
	request, err := compile(ctx, folder, name)
	if err != nil {
		return err
	}
	response, err := generate(request)
	if err != nil {
		return err
	}
	for _, file := range response.GetFile() {
		path := filepath.Join(folder, file.GetName())
		if err := os.WriteFile(path, []byte(file.GetContent()), generatedMode); err != nil {
			return err
		}
	}
	return nil
}

// compile parses a proto file and returns the code generator request that protoc would send to a plugin.
func compile(ctx context.Context, folder, name string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{folder}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(ctx, name)
	if err != nil {
		return nil, err
	}
	return &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(files[0])},
		Parameter:      proto.String("paths=source_relative"),
	}, nil
}

// generate runs the code generator of protoc-gen-go.
func generate(request *pluginpb.CodeGeneratorRequest) (*pluginpb.CodeGeneratorResponse, error) {
	plugin, err := protogen.Options{}.New(request)
	if err != nil {
		return nil, err
	}
	for _, file := range plugin.Files {
		internal_gengo.GenerateFile(plugin, file)
	}
	response := plugin.Response()
	if response.Error != nil {
		return nil, errors.New(response.GetError())
	}
	return response, nil
}
