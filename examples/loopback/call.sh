#!/bin/sh
# Sends one signed call and prints the response. Usage: call.sh [FUNCTION [BODY]]
set -eu
secret=$(printf %s MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw | openssl base64 -d -A | od -An -v -tx1 | tr -d ' \n')
id=call_$(openssl rand -hex 8) now=$(date +%s) body=${2-'{"nights":3}'}
signature=$(printf %s "$id.$now.$body" | openssl dgst -sha256 -mac HMAC -macopt hexkey:"$secret" -binary | openssl base64 -A)
exec curl -sS -i "http://127.0.0.1:8080/call/${1-quote-lake}" -H "webhook-id: $id" -H "webhook-timestamp: $now" \
  -H "webhook-signature: v1,$signature" -d "$body"
