// Command wiregen writes the Go code of a proto file, with both compiler and generator pinned in go.mod.
package main

import (
	"context"
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

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "wiregen:", err)
		os.Exit(1)
	}
}

func run(arguments []string) error {
	if len(arguments) != 1 {
		return fmt.Errorf("give one proto file")
	}
	folder, name := filepath.Split(arguments[0])
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{folder}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), name)
	if err != nil {
		return err
	}
	descriptor := protodesc.ToFileDescriptorProto(files[0])
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		ProtoFile:      []*descriptorpb.FileDescriptorProto{descriptor},
		Parameter:      proto.String("paths=source_relative"),
	}
	plugin, err := protogen.Options{}.New(request)
	if err != nil {
		return err
	}
	for _, file := range plugin.Files {
		internal_gengo.GenerateFile(plugin, file)
	}
	response := plugin.Response()
	if response.Error != nil {
		return fmt.Errorf("%s", response.GetError())
	}
	for _, file := range response.File {
		if err := os.WriteFile(filepath.Join(folder, file.GetName()), []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
