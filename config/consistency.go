package config

import "fmt"

// CheckConsistency checks what only several controllers' configurations together show: a key shared by two of them would let a
// message to one be replayed at the other, and two equal numbers would halve the guard for workers that warm up. names
// are the files' names, in the order of l. Its error is Problems.
func CheckConsistency(names []string, l []*ControllerConfig) error {
	a := acrossCheck{
		secretFiles: map[string]string{},
		indexFiles:  map[int]string{},
		nameFiles:   map[string]string{},
	}
	for i, b := range l {
		a.file = names[i]
		a.checkSecrets(b)
		a.checkIndex(b)
		a.checkName(b)
		if b.Settings.Controllers != len(l) {
			a.add(Problem{
				Field:   "controllers",
				Message: fmt.Sprintf("%d, but %d files were given", b.Settings.Controllers, len(l)),
				Remedy:  "guards for cold workers are shared out by this number",
			})
		}
	}
	if len(a.problems) == 0 {
		return nil
	}
	return a.problems
}

// An acrossCheck holds which file used what first.
type acrossCheck struct {
	file        string // that is checked
	problems    Problems
	secretFiles map[string]string
	indexFiles  map[int]string
	nameFiles   map[string]string
}

// add adds a problem of the file that is checked.
func (a *acrossCheck) add(p Problem) {
	p.File = a.file
	a.problems = append(a.problems, p)
}

func (a *acrossCheck) checkSecrets(b *ControllerConfig) {
	for _, secret := range b.Secrets {
		if other, ok := a.secretFiles[secret]; ok && other != a.file {
			a.add(Problem{
				Field:   "clients",
				Message: "a key that " + other + " has too",
				Remedy:  "a message to one could be replayed at the other: use common_keys",
			})
		}
		a.secretFiles[secret] = a.file
	}
}

func (a *acrossCheck) checkIndex(b *ControllerConfig) {
	index := b.Settings.ControllerIndex
	if other, ok := a.indexFiles[index]; ok {
		a.add(Problem{
			Field:   "me",
			Message: fmt.Sprintf("%d is also that of %s", index, other),
			Remedy:  "number them from 0",
		})
	}
	a.indexFiles[index] = a.file
}

func (a *acrossCheck) checkName(b *ControllerConfig) {
	if other, ok := a.nameFiles[b.Name]; ok {
		a.add(Problem{
			Field:   "name",
			Message: fmt.Sprintf("%q is also that of %s", b.Name, other),
			Remedy:  "names must differ",
		})
	}
	a.nameFiles[b.Name] = a.file
}
