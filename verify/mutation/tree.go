package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Permissions of files and folders in the temporary folders.
const (
	filePermissions   = 0o644
	folderPermissions = 0o755
)

// apply applies a patch to the files in a folder, which must contain at least those that the patch changes.
func apply(patch mutation, folder string) error {
	absolute, err := filepath.Abs(patch.file)
	if err != nil {
		return err
	}
	// Outside a repository, git applies a patch relative to its working directory. The ceiling keeps git from finding a
	// repository that contains the folder.
	environment := []string{"GIT_CEILING_DIRECTORIES=" + filepath.Dir(folder)}
	if output, err := run(folder, environment, "git", "apply", "--whitespace=nowarn", absolute); err != nil {
		return fmt.Errorf("%w: %s", errNotApplying, truncate(output))
	}
	return nil
}

// copyTree copies the tracked files, and the untracked ones that git doesn't ignore, into a folder.
func copyTree(folder string) error {
	listed, err := run(".", nil, "git", "ls-files", "--cached", "--others", "--exclude-standard")
	if err != nil {
		return fmt.Errorf("%w: %s", errNoTree, truncate(listed))
	}
	for _, file := range strings.Split(strings.TrimSpace(listed), "\n") {
		if err := copyFile(file, filepath.Join(folder, file)); err != nil {
			return err
		}
	}
	return nil
}

// copyFile copies a file's content and creates the parent folders of the target.
func copyFile(source, target string) error {
	content, err := os.ReadFile(source)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(target), folderPermissions); err != nil {
		return err
	}
	return os.WriteFile(target, content, filePermissions)
}

// removeAll removes a temporary folder and ignores errors: a folder that can't be removed does no harm.
func removeAll(folder string) { _ = os.RemoveAll(folder) }
