#!/bin/sh
exec java ${SHALLOTSPUR_JAVA_OPTS:--Xmx512m} -jar "$0" "$@"
