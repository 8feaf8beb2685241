package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// check validates single values first, then constraints between values.
func check(d *Deployment, ps *problems) {
	checkValues(d, ps)
	checkDataCentres(d, ps)
	checkNames(d, ps)
	checkAddresses(d, ps)
	checkUpstreams(d, ps)
	checkModels(d, ps)
	checkLimits(d, ps)
	checkSecurity(d, ps)
}

func checkValues(d *Deployment, ps *problems) {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	if err := v.RegisterValidation("ip_port", isIPPort); err != nil {
		panic("settings: " + err.Error())
	}
	err := v.Struct(d)
	if err == nil {
		return
	}
	for _, fe := range err.(validator.ValidationErrors) {
		// The namespace starts with the Go type: Deployment.links[0].from.
		_, key, _ := strings.Cut(fe.Namespace(), ".")
		ps.add(key, "%s", tagMessage(fe))
	}
}

// isIPPort accepts a specified IP address with a port other than 0, such as
// "127.1.0.1:8080". Host names are rejected: instances connect by IP address.
func isIPPort(fl validator.FieldLevel) bool {
	ap, err := netip.ParseAddrPort(fl.Field().String())
	return err == nil && ap.Port() != 0 && !ap.Addr().IsUnspecified()
}

func tagMessage(fe validator.FieldError) string {
	switch fe.Tag() {
	case "required":
		return "is missing"
	case "min":
		return fmt.Sprintf("needs %s at least", fe.Param())
	case "ip_port":
		return fmt.Sprintf("%q isn't an IP number with a port, such as 127.0.0.1:8080", fe.Value())
	case "oneof":
		return fmt.Sprintf("%q isn't one of: %s", fe.Value(), strings.ReplaceAll(fe.Param(), " ", ", "))
	case "gt":
		return fmt.Sprintf("must be above %s, not %v", fe.Param(), fe.Value())
	case "gte":
		return fmt.Sprintf("must be %s or more, not %v", fe.Param(), fe.Value())
	case "lt":
		return fmt.Sprintf("must be below %s, not %v", fe.Param(), fe.Value())
	case "lte":
		return fmt.Sprintf("must be %s or less, not %v", fe.Param(), fe.Value())
	case "len", "hexadecimal":
		return "must be a SHA-256 hash: 64 hexadecimal digits"
	default:
		panic("settings: no message for validation tag " + fe.Tag())
	}
}

// uniqueValues reports values that occur more than once.
type uniqueValues struct {
	ps *problems
	// firstKey maps each value to the key where it occurs first.
	firstKey map[string]string
}

func newUniqueValues(ps *problems) uniqueValues {
	return uniqueValues{ps: ps, firstKey: map[string]string{}}
}

func (u uniqueValues) add(key, value string) {
	if value == "" {
		return
	}
	if first, ok := u.firstKey[value]; ok {
		u.ps.add(key, "%q is already used by %s on line %d", value, first, u.ps.lines.lineOf(first))
		return
	}
	u.firstKey[value] = key
}

func checkNames(d *Deployment, ps *problems) {
	// The platform lists instances and upstreams together, so names must be unique
	// across both.
	names := newUniqueValues(ps)
	for i, in := range d.Instances {
		names.add(fmt.Sprintf("instances[%d].name", i), in.Name)
	}
	for i, u := range d.Upstreams {
		names.add(fmt.Sprintf("upstreams[%d].name", i), u.Name)
	}
	operators := newUniqueValues(ps)
	tokens := newUniqueValues(ps)
	for i, o := range d.Security.Operators {
		operators.add(fmt.Sprintf("security.operators[%d].name", i), o.Name)
		tokens.add(fmt.Sprintf("security.operators[%d].token_sha256", i), strings.ToLower(o.TokenSHA256))
	}
}

// checkAddresses rejects an address that two listeners would share. The platform's
// three services may share one address.
func checkAddresses(d *Deployment, ps *problems) {
	used := newUniqueValues(ps)
	for i, in := range d.Instances {
		fields := reflect.ValueOf(in)
		for f := range fields.NumField() {
			tag := fields.Type().Field(f).Tag
			if strings.Contains(tag.Get("validate"), "ip_port") {
				key := fmt.Sprintf("instances[%d].%s", i, jsonName(fields.Type().Field(f)))
				used.add(key, fields.Field(f).String())
			}
		}
	}
	for i, u := range d.Upstreams {
		used.add(fmt.Sprintf("upstreams[%d].address", i), u.Address)
	}
	platform := map[string]bool{}
	add := func(key, address string) {
		if !platform[address] {
			platform[address] = true
			used.add(key, address)
		}
	}
	add("platform.log", d.Platform.Log)
	add("platform.instances", d.Platform.Instances)
	add("platform.weights", d.Platform.Weights)
}
