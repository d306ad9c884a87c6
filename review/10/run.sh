#!/bin/sh
# Case 10: a change of the configuration adds a tenant whose name has more than 63
# bytes, 28 letters and spaces in Bengali. Its keys are refused for good.
# TROUBLE=0: the same change with a short name.
cd "$(dirname "$0")/../.." || exit 2
. review/standin-2/site.sh
site_begin review/10

site_store
site_config
for n in 1 2 3; do site_worker $n a; done
site_instance 1
site_instance 2
site_ready 1
site_ready 2
sleep 1
job='{"spec":"ms=500 cpu=1000","steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":500}]}'
submit $TOKEN_A p 00000000000000a1 "$job" >/dev/null

name='পশ্চিমবঙ্গ জল সংরক্ষণ পর্ষদ'
[ "${TROUBLE:-1}" = 0 ] && name='paschim-banga-jal'
config_text | sed "s/\"version\": 3/\"version\": 8/; s/\"tenants\": \[/&{\"name\": \"$name\", \"apiKeys\": [\"key-c\"], \"guaranteed\": {\"gpu\": 8}},/" >"$tmp/text"
config_text() { cat "$tmp/text"; }
site_config
note "operator: version 8 acknowledged; it adds the tenant $name, $(printf '%s' "$name" | wc -c) bytes, with key-c"
# configApplyMs is 2,000 or 3,000
sleep 10
refused=0
asked=0
for FRONT in 1 2; do
	for n in 1 2 3; do
		a=$(submit key-c p 0000000000000c$FRONT$n "$job")
		asked=$((asked + 1))
		case $a in 401* | 403* | 404*) refused=$((refused + 1)) ;; esac
	done
	submit $TOKEN_A p 00000000000000d$FRONT "$job" >/dev/null
done
sleep 2
grep -h '"policy' "$tmp"/i1.log | cut -c 1-300 >>"$record"
site_record
if [ $refused = 0 ]; then
	note "held"
	exit 0
fi
note "BROKEN: CONFIG: $refused of $asked requests refused, 10 s after the version that has their route and key"
exit 1
